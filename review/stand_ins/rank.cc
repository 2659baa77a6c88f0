// Case "rank": the operator brings a version of the configuration that withdraws a key, moves a route to
// another service and gives that route the rank 12.
#include "platform.hh"

namespace {

using namespace rig;

constexpr long apply_ms = 2000; // configApplyMs

std::string second_configuration(int rank)
{
    return "{\"version\":5,\"routes\":["
           "{\"name\":\"hold\",\"host\":\"desk.example\",\"pathPrefix\":\"/hold/"
           "\",\"kind\":\"non_idempotent\","
           "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}"
           ","
           "{\"name\":\"peek\",\"host\":\"desk.example\",\"pathPrefix\":\"/peek/\",\"kind\":\"safe\","
           "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":" +
           std::to_string(rank) +
           ",\"service\":\"archive\",\"maxAttempts\":2}],"
           "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/"
           "health\"},{\"name\":\"archive\",\"healthPath\":\"/health\"}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},"
           "\"tenants\":[{\"name\":\"wharf\",\"apiKeys\":[\"wharf-key\"]}]}";
}

std::string first_configuration()
{
    auto text = configuration(1);
    const auto from = text.find("\"tenants\":[") + 11;
    return text.insert(from, "{\"name\":\"wharf\",\"apiKeys\":[\"wharf-key\"]},");
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 4)
        return 2;
    const std::string folder = arguments[2];
    const bool has_trouble = std::string{std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1"} != "0";
    record log{arguments[3]};
    const auto port = free_ports();
    fleet fronts{arguments[1], folder, port, 3, log};
    store objects{fronts.store_ip(), port};
    objects.put("config", "main", first_configuration());
    std::vector<std::unique_ptr<server>> desks, archives;
    for (int i = 1; i <= 3; ++i) {
        const auto name = "i-desk-" + std::to_string(i);
        desks.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(i), port, log));
        objects.put("servers", name, desks.back()->spec("desk", "kurume-a"));
    }
    for (int i = 1; i <= 2; ++i) {
        const auto name = "i-archive-" + std::to_string(i);
        archives.push_back(std::make_unique<server>(name, "127.0.5." + std::to_string(i), port, log));
        objects.put("servers", name, archives.back()->spec("archive", "kurume-a"));
    }
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }

    std::atomic<bool> is_over{false};
    std::atomic<long> in_force_at{-1};
    std::atomic<int> number{0}, served{0}, dropped_key_runs{0}, old_service_runs{0}, judged{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            client caller{fleet::ip(i % 3), fronts.front_port(), log};
            const auto has_dropped_key = i % 2 == 0;
            sleep_ms(i * 20);
            while (!is_over) {
                const auto attempt = "a" + std::to_string(++number) + "-" + std::to_string(port);
                const bool is_judged = in_force_at >= 0 && log.now() > in_force_at;
                const auto got = has_dropped_key
                                     ? caller.ask("POST", "/hold/one", attempt, "hold one frame", 3000)
                                     : caller.ask("GET", "/peek/one", attempt, "", 3000, 0, "wharf-key");
                served += got.status == 200;
                int runs = 0;
                for (auto& desk : desks)
                    runs += desk->runs_of(attempt);
                judged += is_judged;
                if (is_judged && runs > 0)
                    ++(has_dropped_key ? dropped_key_runs : old_service_runs);
                sleep_ms(200);
            }
        });
    }
    sleep_ms(4000);
    objects.put("config", "main", second_configuration(has_trouble ? 12 : 9));
    log.line("store     acknowledges version 5 of the configuration");
    in_force_at = log.now() + apply_ms;
    sleep_ms(16'000);
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    log.line("result    of %d requests sent later than %ld ms after the acknowledgement, %d ran under a key "
             "that was "
             "withdrawn, and %d at the service that the route has left",
             judged.load(), apply_ms, dropped_key_runs.load(), old_service_runs.load());
    std::printf("judged %d; run under the withdrawn key: %d; run by the old service: %d\n", judged.load(),
                dropped_key_runs.load(), old_service_runs.load());
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(served < 100 || judged < 20 ? 2 : dropped_key_runs + old_service_runs > 0 ? 1 : 0);
}

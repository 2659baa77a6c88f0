// Case "model": one client names a model that the route does not have.
#include "platform.hh"

namespace {

using namespace rig;

std::string model_configuration()
{
    return "{\"version\":1,\"routes\":["
           "{\"name\":\"hold\",\"host\":\"desk.example\",\"pathPrefix\":\"/hold/"
           "\",\"kind\":\"non_idempotent\","
           "\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1}"
           ","
           "{\"name\":\"sizing\",\"host\":\"desk.example\",\"pathPrefix\":\"/sizing/"
           "\",\"kind\":\"streaming\","
           "\"timeoutMs\":10000,\"targetLatencyMs\":2000,\"priority\":0,\"sizes\":[\"m0\",\"m1\",\"m2\"],"
           "\"service\":\"sizer\",\"maxAttempts\":3,\"sticky\":true,\"resumable\":true,\"targetGapMs\":1000}]"
           ","
           "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\"},"
           "{\"name\":\"sizer\",\"healthPath\":\"/health\"}],"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
           "\"idleTimeoutMs\":15000},"
           "\"tenants\":[{\"name\":\"harbour\",\"apiKeys\":[\"harbour-key\"]},"
           "{\"name\":\"wharf\",\"apiKeys\":[\"wharf-key\"]}]}";
}

std::string model_headers(const std::string& model, int number)
{
    return "X-Model: " + model + "\r\nX-Token-Counts: 900,80\r\nX-Prompt-Prefix: 5c1e07a" +
           std::to_string(number % 10) + ":600,9" + std::to_string(1000000 + number) + ":300\r\n";
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
    objects.put("config", "main", model_configuration());
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 9; ++i) {
        const auto name = "i-sizer-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(name, "127.0.5." + std::to_string(i), port, log));
        servers.back()->set_models({"m0", "m1", "m2"});
        objects.put("servers", name, servers.back()->spec("sizer", "kurume-a"));
    }
    for (int i = 1; i <= 3; ++i) {
        const auto name = "i-desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(i), port, log));
        objects.put("servers", name, servers.back()->spec("desk", "kurume-a"));
    }
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }

    std::atomic<bool> is_over{false};
    std::atomic<int> number{0}, sizing_sent{0}, sizing_served{0}, all_sent{0}, all_served{0}, wrong_sent{0};
    const auto next = [&] { return "a" + std::to_string(++number) + "-" + std::to_string(port); };
    // Sends a request and, after a refusal, retries it once when it may come back, on a new connection to
    // another machine.
    const auto ask = [&](client& caller, int front, const auto& send) {
        const auto got = send(caller);
        if ((got.status != 503 && got.status != 429) || is_over)
            return;
        const auto wait = std::atof(got.answer.header("retry-after").c_str());
        sleep_ms(static_cast<long>(std::min(wait, 3.0) * 1000));
        client other{fleet::ip((front + 1) % 3), fronts.front_port(), log};
        send(other);
    };
    std::vector<std::thread> callers;
    // Sound clients: half of them ask models, the others hold frames.
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            const auto front = i % 3;
            const auto is_sizing = i / 3 % 2 == 0;
            client caller{fleet::ip(front), fronts.front_port(), log};
            const auto send = [&](client& through) {
                auto got = is_sizing ? through.ask("POST", "/sizing/one", next(), "the child's inseam",
                                                   10'000, 0, "harbour-key", model_headers("*", number))
                                     : through.ask("POST", "/hold/one", next(), "hold one frame", 3000);
                const bool is_served = got.status == 200 && !got.answer.header("x-response-stamp").empty();
                ++all_sent;
                all_served += is_served;
                sizing_sent += is_sizing;
                sizing_served += is_sizing && is_served;
                return got;
            };
            sleep_ms(i * 25);
            while (!is_over) {
                ask(caller, front, send);
                sleep_ms(300);
            }
        });
    }
    sleep_ms(2000);
    // One client of another tenant, about once a second.
    callers.emplace_back([&] {
        for (int i = 0; !is_over; ++i) {
            client caller{fleet::ip(i % 3), fronts.front_port(), log};
            ask(caller, i % 3, [&](client& through) {
                ++wrong_sent;
                return through.ask("POST", "/sizing/one", next(), "the child's inseam", 10'000, 0,
                                   "wharf-key", model_headers(has_trouble ? "m3" : "*", number));
            });
            sleep_ms(1000);
        }
    });
    sleep_ms(85'000);
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    const auto share = [](int part, int of) { return of > 0 ? static_cast<double>(part) / of : 0.0; };
    const auto sizing = share(sizing_served, sizing_sent);
    const auto all = share(all_served, all_sent);
    log.line(
        "result    %d requests name the model; of the others, %d of %d on the model route are served (%.3f), "
        "%d of %d in all (%.3f)",
        wrong_sent.load(), sizing_served.load(), sizing_sent.load(), sizing, all_served.load(),
        all_sent.load(), all);
    std::printf(
        "requests with the wrong model: %d; model route: %d of %d served (%.3f); all: %d of %d (%.3f)\n",
        wrong_sent.load(), sizing_served.load(), sizing_sent.load(), sizing, all_served.load(),
        all_sent.load(), all);
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(all_served < 50 ? 2 : sizing < all / 4 ? 1 : 0);
}

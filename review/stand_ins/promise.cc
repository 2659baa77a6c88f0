// Case "promise": one server of a service fails a part of the requests that it has run, while its health
// check is good. Its failures have status 503 and no X-Not-Run.
#include "platform.hh"

namespace {

using namespace rig;

constexpr double failing_share = 0.45; // x of srv_grey on kogarashi-fit.

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
    objects.put("config", "main", configuration(1));
    // What the servers did for their users: each holding is one frame in stock.
    std::mutex mutex;
    std::map<std::string, int> holdings;
    std::set<std::string> failed_attempts;
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 3; ++i) {
        const auto name = "i-desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(i), port, log));
        objects.put("servers", name, servers.back()->spec("desk", "kurume-a"));
    }
    std::atomic<bool> is_grey{false};
    for (auto& item : servers) {
        const bool can_fail = item->name() == "i-desk-1";
        item->set_runs(
            [&, can_fail](const message& request, const std::string& attempt) {
                const std::lock_guard lock{mutex};
                ++holdings[request.body];
                run_result result;
                if (can_fail && is_grey && std::rand() < failing_share * RAND_MAX) {
                    failed_attempts.insert(attempt);
                    result.status = 503;
                    result.body = "{\"error\":\"the receipt could not be written\"}";
                }
                return result;
            },
            60);
    }
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }

    std::atomic<bool> is_over{false};
    std::atomic<int> number{0}, asked{0}, served{0};
    std::vector<std::string> refused; // Attempts that were answered 408, 421, 429 or 503.
    std::vector<std::thread> callers;
    for (int i = 0; i < 9; ++i) {
        callers.emplace_back([&, i] {
            sleep_ms(i * 30);
            int count = 0;
            while (!is_over) {
                const auto frame = "frame " + std::to_string(i) + "." + std::to_string(++count);
                // A client retries a request that must not run twice only after a promise, on a new
                // connection.
                for (int tries = 0; tries < 2; ++tries) {
                    client caller{fleet::ip((i + tries) % 3), fronts.front_port(), log};
                    const auto attempt = "a" + std::to_string(++number) + "-" + std::to_string(port);
                    ++asked;
                    const auto got = caller.ask("POST", "/hold/one", attempt, frame, 3000);
                    served += got.status == 200;
                    const auto is_promise =
                        got.status == 408 || got.status == 421 || got.status == 429 || got.status == 503;
                    if (!is_promise)
                        break;
                    const std::lock_guard lock{mutex};
                    refused.push_back(attempt);
                }
                sleep_ms(150);
            }
        });
    }
    sleep_ms(4000);
    is_grey = has_trouble;
    sleep_ms(7800);
    is_grey = false;
    sleep_ms(3000);
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    int broken = 0;
    for (const auto& attempt : refused) {
        for (auto& item : servers)
            broken += item->runs_of(attempt);
    }
    int twice = 0;
    for (const auto& [frame, count] : holdings)
        twice += count > 1;
    log.line(
        "result    %d of %d served; %zu answered with a promise, %d of these had run; %d frames held twice",
        served.load(), asked.load(), refused.size(), broken, twice);
    std::printf(
        "%d of %d served; answered with a promise: %zu, of these had run: %d; frames held twice: %d\n",
        served.load(), asked.load(), refused.size(), broken, twice);
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(served < 100 ? 2 : broken > 0 ? 1 : 0);
}

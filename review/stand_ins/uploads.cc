// Case "uploads": clients send large bodies, as the configuration allows, at the same time to one machine.
// The platform ends processes that exceed the memory that the machine's settings name.
#include "platform.hh"

namespace {

using namespace rig;

constexpr long memory_limit_kb = 110L * 1024; // memory_mb of kogarashi-fit.
constexpr int upload_clients = 16; // A zone has 12 clients, and up to 1.7 times as many in a burst.
constexpr std::size_t body_bytes = 4'190'000;      // maxBodyBytes is 4,194,304.
constexpr std::size_t link_bytes_per_ms = 125'000; // linkMbps is 1,000.
constexpr int rounds = 3;

// The anonymous memory of a process, which leaves out its program file and shared libraries.
long memory_kb(int pid)
{
    auto file = std::ifstream{"/proc/" + std::to_string(pid) + "/status"};
    std::string word;
    while (file >> word) {
        if (word != "RssAnon:")
            continue;
        long kb = 0;
        file >> kb;
        return kb;
    }
    return 0;
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
    objects.put("config", "main", configuration(1));
    std::vector<std::unique_ptr<server>> servers;
    for (int i = 1; i <= 3; ++i) {
        const auto name = "i-desk-" + std::to_string(i);
        servers.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(i), port, log));
        servers.back()->set_runs(nullptr, 200);
        objects.put("servers", name, servers.back()->spec("desk", "kurume-a"));
    }
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }

    std::atomic<bool> is_over{false};
    std::atomic<int> kills{0};
    std::atomic<long> peak_kb{0};
    std::vector<std::atomic<long>> down_until(3);
    auto platform = std::thread{[&] {
        while (!is_over) {
            for (int i = 0; i < fronts.size(); ++i) {
                if (down_until[static_cast<std::size_t>(i)] > 0) {
                    if (log.now() >= down_until[static_cast<std::size_t>(i)]) {
                        fronts.start(i);
                        down_until[static_cast<std::size_t>(i)] = 0;
                    }
                    continue;
                }
                const auto kb = memory_kb(fronts.pid(i));
                peak_kb = std::max(peak_kb.load(), kb);
                if (kb <= memory_limit_kb && !fronts.has_ended(i))
                    continue;
                log.line("platform  front-%d holds %ld kB of %ld, and is ended", i + 1, kb, memory_limit_kb);
                fronts.kill(i);
                ++kills;
                down_until[static_cast<std::size_t>(i)] = log.now() + 1000;
            }
            std::this_thread::sleep_for(std::chrono::microseconds{500});
        }
    }};

    std::atomic<int> number{0};
    std::mutex mutex;
    std::vector<std::string> unanswered;
    const auto ask = [&](client& caller, const std::string& path, const std::string& body,
                         std::size_t rate = 0) {
        const auto attempt = "a" + std::to_string(++number) + "-" + std::to_string(port);
        const auto got = caller.ask("POST", path, attempt, body, 3000, rate);
        if (got.status != 0 || !got.was_sent)
            return;
        const std::lock_guard lock{mutex};
        unanswered.push_back(attempt);
    };
    // Each of four clients a machine keeps its connection and sends small requests, one after the other.
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            client caller{fleet::ip(i % 3), fronts.front_port(), log};
            sleep_ms(i * 20);
            while (!is_over) {
                ask(caller, "/hold/small", "hold one frame");
                sleep_ms(150);
            }
        });
    }
    sleep_ms(3000);
    const auto body = std::string(has_trouble ? body_bytes : 600, 'x');
    for (int round = 0; round < rounds; ++round) {
        for (int front = 0; front < 2; ++front) {
            std::vector<std::thread> uploads;
            for (int i = 0; i < upload_clients; ++i) {
                uploads.emplace_back([&, front] {
                    client caller{fleet::ip(front), fronts.front_port(), log};
                    ask(caller, "/hold/small", "hold one frame");
                    ask(caller, "/hold/photo", body, link_bytes_per_ms / upload_clients);
                });
            }
            for (auto& upload : uploads)
                upload.join();
            sleep_ms(6000);
        }
    }
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    platform.join();
    int lost = 0;
    for (const auto& attempt : unanswered) {
        for (auto& item : servers)
            lost += item->runs_of(attempt);
    }
    log.line(
        "result    processes ended for their memory: %d; peak %ld kB; requests that ran and whose connection "
        "closed without an answer: %d",
        kills.load(), peak_kb.load(), lost);
    std::printf("ended for memory: %d, peak %ld kB, run and unanswered: %d\n", kills.load(), peak_kb.load(),
                lost);
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(lost > 3 ? 1 : 0);
}

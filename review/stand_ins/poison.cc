// Case "poison": a request that crashes the servers that run it comes again and again, while the machines of
// the system are stopped and started in turn.
#include "platform.hh"

namespace {

using namespace rig;

constexpr int fronts_count = 7;
constexpr int server_count = 6;
constexpr long server_down_ms = 3000;
constexpr long stable_ms = 3000; // stableWindowMs
constexpr long grace_ms = 8000;  // graceS
constexpr int allowed_retries = 3;

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 4)
        return 2;
    const std::string folder = arguments[2];
    const bool has_trouble = std::string{std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1"} != "0";
    record log{arguments[3]};
    const auto port = free_ports();
    fleet fronts{arguments[1], folder, port, fronts_count, log};
    store objects{fronts.store_ip(), port};
    objects.put("config", "main", configuration(1));

    // Every life of a server; those that have ended stay for their records.
    std::mutex mutex;
    std::vector<std::unique_ptr<server>> lives;
    std::vector<server*> current(server_count);
    std::vector<long> back_at(server_count, 0);
    std::vector<long> crashes;
    std::map<std::string, int> poison_runs;
    std::atomic<bool> is_over{false};
    const std::function<void(int)> start_server = [&](int index) {
        const auto name = "i-desk-" + std::to_string(index + 1) + "-" + std::to_string(lives.size());
        lives.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(index + 1), port, log));
        auto* life = lives.back().get();
        life->set_runs(nullptr, 60);
        life->set_begin([&, index, life](const message& request, const std::string& attempt) {
            if (request.body.find("poison") == std::string::npos)
                return;
            const std::lock_guard lock{mutex};
            ++poison_runs[attempt];
            crashes.push_back(log.now());
            life->crash();
            back_at[static_cast<std::size_t>(index)] = log.now() + server_down_ms;
        });
        current[static_cast<std::size_t>(index)] = life;
        objects.put("servers", name, life->spec("desk", "kurume-a"));
    };
    for (int i = 0; i < server_count; ++i)
        start_server(i);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }
    // Starts crashed servers again, each under a new id; the old entry goes with it.
    auto supervisor = std::thread{[&] {
        while (!is_over) {
            sleep_ms(20);
            const std::lock_guard lock{mutex};
            for (int i = 0; i < server_count; ++i) {
                auto& due = back_at[static_cast<std::size_t>(i)];
                if (due == 0 || log.now() < due)
                    continue;
                due = 0;
                objects.remove("servers", current[static_cast<std::size_t>(i)]->name());
                start_server(i);
            }
        }
    }};

    std::atomic<int> number{0}, sound_asked{0}, sound_served{0}, sound_lost{0};
    const auto next = [&] { return "a" + std::to_string(++number) + "-" + std::to_string(port); };
    std::vector<std::thread> callers;
    for (int i = 0; i < 14; ++i) {
        callers.emplace_back([&, i] {
            client caller{fleet::ip(i % fronts_count), fronts.front_port(), log};
            sleep_ms(i * 17);
            while (!is_over) {
                const auto attempt = next();
                const auto got = caller.ask("POST", "/hold/one", attempt, "hold frame of " + attempt, 3000);
                sound_asked += got.was_sent;
                sound_served += got.status == 200;
                sound_lost += got.status == 502 || got.status == 504;
                sleep_ms(200);
            }
        });
    }
    std::vector<long> up_since(fronts_count, 0);

    struct sent_poison {
        std::string attempt;
        long sent_at;
        bool is_in_touch;
    };

    std::vector<sent_poison> poisons;
    // The same request, from the same caller, at one machine after the other.
    const auto send_poison = [&] {
        for (int i = 0; i < fronts_count; ++i) {
            const auto attempt = next();
            poisons.push_back(
                {attempt, log.now(), log.now() - up_since[static_cast<std::size_t>(i)] > stable_ms});
            client caller{fleet::ip(i), fronts.front_port(), log};
            caller.ask("GET", "/peek/poison", attempt, "poison", 3000);
            sleep_ms(150);
        }
    };
    sleep_ms(4000);
    send_poison();
    sleep_ms(4000);
    for (int i = 0; i < fronts_count; ++i) {
        if (has_trouble) {
            log.line("process   front-%d gets SIGTERM", i + 1);
            ::kill(fronts.pid(i), SIGTERM);
            const auto until = log.now() + grace_ms;
            while (!fronts.has_ended(i) && log.now() < until)
                sleep_ms(20);
            fronts.kill(i);
            fronts.start(i);
            up_since[static_cast<std::size_t>(i)] = log.now();
        } else {
            sleep_ms(3300);
        }
        // The restarted machine is in touch again by then.
        sleep_ms(stable_ms + 1500);
        send_poison();
        sleep_ms(3200);
    }
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    supervisor.join();
    std::sort(crashes.begin(), crashes.end());
    const auto counts_from = crashes.size() >= 3 ? crashes[2] + stable_ms : log.now() + 1;
    int reached = 0;
    for (const auto& item : poisons)
        reached += item.is_in_touch && item.sent_at > counts_from && poison_runs.count(item.attempt) > 0;
    log.line("result    the request was sent %zu times and crashed %zu servers; %d of its retries reached "
             "servers later "
             "than %ld ms after the third crash; %d other requests were lost",
             poisons.size(), crashes.size(), reached, stable_ms, sound_lost.load());
    std::printf("sent %zu times, crashes %zu, retries that reached servers after the third crash: %d; other "
                "requests: "
                "%d served of %d, %d lost\n",
                poisons.size(), crashes.size(), reached, sound_served.load(), sound_asked.load(),
                sound_lost.load());
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(sound_served < 100 || crashes.empty() ? 2 : reached > allowed_retries ? 1 : 0);
}

// Case "hot": clients of one tenant look up the same thing again and again; two servers crash at the same
// moment.
#include "platform.hh"

namespace {

using namespace rig;

constexpr int server_count = 8;
constexpr int crashes = 2; // share 0.25 of srv_crash
constexpr long down_ms = 5000;
constexpr long silence_ms = 3600; // Three heartbeat intervals.

std::string hot_configuration()
{
    auto text = configuration(1);
    const auto from = text.find("\"tenants\":[") + 11;
    return text.insert(from, "{\"name\":\"board\",\"apiKeys\":[\"board-key\"]},");
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
    objects.put("config", "main", hot_configuration());
    std::vector<std::unique_ptr<server>> servers;
    const auto add_server = [&](int number, const std::string& life) {
        const auto name = "i-desk-" + std::to_string(number) + life;
        servers.push_back(std::make_unique<server>(name, "127.0.3." + std::to_string(number), port, log));
        servers.back()->set_runs(nullptr, 120);
        objects.put("servers", name, servers.back()->spec("desk", "kurume-a"));
    };
    for (int i = 1; i <= server_count; ++i)
        add_server(i, "");
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    if (!fronts.wait_until_ready(10'000)) {
        log.line("the processes do not get ready");
        return 2;
    }

    std::atomic<bool> is_over{false};
    std::atomic<int> number{0}, board_sent{0}, board_served{0}, all_sent{0}, all_served{0}, late_sent{0},
        late_served{0};
    std::atomic<long> late_from{-1};
    const auto next = [&] { return "a" + std::to_string(++number) + "-" + std::to_string(port); };
    // After a refusal, a request is retried once when it may come back, on a new connection to another
    // machine.
    const auto ask = [&](client& caller, int front, const auto& send) {
        const auto got = send(caller);
        if ((got.status != 503 && got.status != 429) || is_over)
            return;
        const auto wait = std::atof(got.answer.header("retry-after").c_str());
        sleep_ms(static_cast<long>(std::min(wait, 1.0) * 1000));
        client other{fleet::ip((front + 1) % 3), fronts.front_port(), log};
        send(other);
    };
    const auto first_tick = clock::now();
    std::vector<std::thread> callers;
    // 24 boards show the same list and fetch it every second; six clerks hold frames.
    for (int i = 0; i < 30; ++i) {
        callers.emplace_back([&, i] {
            const auto front = i % 3;
            const auto is_board = i < 24;
            client caller{fleet::ip(front), fronts.front_port(), log};
            const auto send = [&](client& through) {
                const auto attempt = next();
                const bool is_late = late_from >= 0 && log.now() >= late_from;
                auto got = is_board
                               ? through.ask("GET", "/peek/list", attempt, "", 3000, 0, "board-key")
                               : through.ask("POST", "/hold/one", attempt, "hold frame of " + attempt, 3000);
                const bool is_served = got.status == 200 && !got.answer.header("x-response-stamp").empty();
                ++all_sent;
                all_served += is_served;
                board_sent += is_board;
                board_served += is_board && is_served;
                late_sent += is_board && is_late;
                late_served += is_board && is_late && is_served;
                return got;
            };
            for (int tick = 1; !is_over; ++tick) {
                std::this_thread::sleep_until(first_tick + std::chrono::seconds{tick});
                ask(caller, front, send);
                if (!is_board) {
                    sleep_ms(150);
                    ask(caller, front, send);
                }
            }
        });
    }
    std::this_thread::sleep_until(first_tick + std::chrono::milliseconds{5060});
    if (has_trouble) {
        for (int i = 0; i < crashes; ++i)
            servers[static_cast<std::size_t>(i)]->crash();
        sleep_ms(silence_ms);
        for (int i = 1; i <= crashes; ++i)
            objects.remove("servers", "i-desk-" + std::to_string(i));
        sleep_ms(down_ms - silence_ms);
        for (int i = 1; i <= crashes; ++i)
            add_server(i, "b");
        log.line("store     both servers are back");
    }
    late_from = log.now() + 5000;
    sleep_ms(80'000);
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    const auto share = [](int part, int of) { return of > 0 ? static_cast<double>(part) / of : 0.0; };
    const auto board = share(board_served, board_sent);
    const auto all = share(all_served, all_sent);
    log.line("result    of the tenant 'board' %d of %d served (%.3f), later than 5 s after the servers are "
             "back %d "
             "of %d; of all %d of %d (%.3f)",
             board_served.load(), board_sent.load(), board, late_served.load(), late_sent.load(),
             all_served.load(), all_sent.load(), all);
    std::printf(
        "tenant: %d of %d served (%.3f); 5 s after the servers are back: %d of %d; all: %d of %d (%.3f)\n",
        board_served.load(), board_sent.load(), board, late_served.load(), late_sent.load(),
        all_served.load(), all_sent.load(), all);
    std::fflush(stdout);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(all_served < 50 ? 2 : board < all / 4 ? 1 : 0);
}

// Case "entries": an entry of another writer appears among the servers in the store. Later all processes of
// the system are killed and start again.
#include "platform.hh"

namespace {

using namespace rig;

constexpr long recovery_ms = 12'000; // recoveryS of kogarashi-fit.

// An entry as a writer leaves it that cuts a text in the middle of a character: its zone ends with half of a
// surrogate pair. VARIANT=nested: an array takes the place of a number.
std::string foreign_entry(const std::string& variant)
{
    auto slots = std::string{"6"};
    auto zone = std::string{"kurume-a \\ud83d"};
    if (variant == "nested") {
        slots = std::string(70, '[') + std::string(70, ']');
        zone = "kurume-a";
    }
    if (variant == "plain") {
        slots = "[\"six\"]";
        zone = "kurume-a";
    }
    return "{\"service\":\"inventory\",\"address\":\"127.0.4.1:9\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"sequence\":1}";
}

} // namespace

int main(int argument_count, char** arguments)
{
    if (argument_count != 4)
        return 2;
    const std::string folder = arguments[2];
    const bool has_trouble = std::string{std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1"} != "0";
    const std::string variant = std::getenv("VARIANT") ? std::getenv("VARIANT") : "half";
    record log{arguments[3]};
    const auto port = free_ports();
    fleet fronts{arguments[1], folder, port, 3, log};
    store objects{fronts.store_ip(), port};
    objects.put("config", "main", configuration(1));
    std::vector<std::unique_ptr<server>> servers;
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
    std::atomic<int> number{0};
    std::atomic<long> judged_from{-1};
    std::atomic<bool> is_before{true};
    std::atomic<int> before_sent{0}, before_served{0}, after_sent{0}, after_served{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            client caller{fleet::ip(i % 3), fronts.front_port(), log};
            sleep_ms(i * 20);
            while (!is_over) {
                const auto sent_at = log.now();
                const bool counts_before = is_before;
                const bool counts_after = judged_from >= 0 && sent_at >= judged_from;
                const auto attempt = "a" + std::to_string(++number) + "-" + std::to_string(port);
                const auto is_hold = i % 2 == 0;
                const auto got = caller.ask(is_hold ? "POST" : "GET", is_hold ? "/hold/one" : "/peek/one",
                                            attempt, is_hold ? "hold one frame" : "", 3000);
                const auto is_served = got.status == 200 && !got.answer.header("x-response-stamp").empty();
                before_sent += counts_before;
                before_served += counts_before && is_served;
                after_sent += counts_after;
                after_served += counts_after && is_served;
                sleep_ms(200);
            }
        });
    }
    sleep_ms(4000);
    if (has_trouble) {
        log.line("store     an entry of another writer appears among the servers");
        objects.put("servers", "x-inventory-1", foreign_entry(variant));
    }
    sleep_ms(6000);
    is_before = false;
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    sleep_ms(740);
    for (int i = 0; i < fronts.size(); ++i)
        fronts.start(i);
    judged_from = log.now() + recovery_ms;
    sleep_ms(recovery_ms + 10'000);
    is_over = true;
    for (auto& caller : callers)
        caller.join();
    log.line("result    before the kill %d of %d served; later than %ld ms after the start %d of %d served",
             before_served.load(), before_sent.load(), recovery_ms, after_served.load(), after_sent.load());
    std::printf("before: %d of %d served; after recovery: %d of %d served\n", before_served.load(),
                before_sent.load(), after_served.load(), after_sent.load());
    const auto could_serve = before_sent > 20 && before_served * 4 >= before_sent;
    std::fflush(stdout);
    const auto result = !could_serve || after_sent < 20 ? 2 : after_served * 4 < after_sent ? 1 : 0;
    for (int i = 0; i < fronts.size(); ++i)
        fronts.kill(i);
    ::_exit(result);
}

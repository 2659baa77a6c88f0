#include "transport/process/signals.hpp"

#include <csignal>
#include <ctime>

namespace buckthorndale::transport::process {

namespace {

auto handled_signals() -> sigset_t
{
    auto set = sigset_t{};
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    return set;
}

} // namespace

auto ignore_broken_pipes() -> void
{
    std::signal(SIGPIPE, SIG_IGN);
} // NOLINT: the result is of no use

auto wait_for_signal(state::duration timeout) -> std::optional<signal_kind>
{
    const auto set = handled_signals();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timeout);
    const auto time =
        timespec{.tv_sec = seconds.count(), .tv_nsec = std::chrono::nanoseconds{timeout - seconds}.count()};
    const auto received = sigtimedwait(&set, nullptr, &time);
    if (received < 0)
        return std::nullopt;
    return received == SIGHUP ? signal_kind::reload : signal_kind::stop;
}

auto wait_for_stop() -> void
{
    constexpr auto wait_interval = state::duration{std::chrono::seconds{60}};
    while (wait_for_signal(wait_interval) != signal_kind::stop) {
    }
}

auto block_handled_signals() -> void
{
    const auto set = handled_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

} // namespace buckthorndale::transport::process

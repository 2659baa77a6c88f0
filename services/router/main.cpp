#include "router/control_worker.hpp"
#include "router/decision_worker.hpp"
#include "router/network_worker.hpp"
#include "router/router_settings.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/program.hpp"
#include "transport/process/random.hpp"
#include "transport/process/signals.hpp"

#include <chrono>
#include <thread>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace router = services::router;

constexpr auto drain_poll_interval = std::chrono::milliseconds{20};

/// Waits until all requests in flight have ended and their bills are held by enough instances. Returns false
/// when that takes longer than the timeout.
auto drain(const router::decision_worker& decision, const router::control_worker& control,
           state::duration timeout) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (decision.requests_in_flight() == 0 && control.pending_bills() == 0)
            return true;
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return false;
}

auto run(const transport::process::command_line& command) -> void
{
    const auto settings = router::read_router_settings(command.settings_path_);
    if (command.is_check_)
        return;
    transport::process::block_handled_signals();
    transport::logging::set_up(settings.log_);
    const auto log = transport::logging::logger{"router"};
    const auto incarnation = state::incarnation{transport::process::system_random{}.next()};

    auto decision = router::decision_worker{settings, incarnation};
    auto control = router::control_worker{settings, incarnation};
    auto network = router::network_worker{settings, {.is_ready_ = [&] { return decision.is_ready(); }}};
    decision.connect(network.from_decision(), control.from_decision());
    control.connect(decision.from_control(), network.from_control(), [&](state::content_fingerprint content) {
        return decision.running_contents()->contains(content);
    });
    network.connect(decision.from_network(), control.from_network());
    control.start();
    decision.start();
    network.start();
    log.info("Router " + settings.instance_.text() + " listens for callers on " +
             settings.callers_.address_.text() + ".");

    transport::process::wait_for_stop();
    log.info("Stopping: /ready fails from now on.");
    network.announce_leaving();
    std::this_thread::sleep_for(settings.leave_delay_);
    control.begin_shutdown();
    const auto is_drained = drain(decision, control, settings.drain_timeout_);
    if (is_drained)
        log.info("All requests in flight have ended.");
    else
        log.warn("Requests were cut off because they did not end within drain_limit_ms.");
    network.stop_accepting();
    // The last responses are still being written to their callers.
    std::this_thread::sleep_for(drain_poll_interval);
    network.stop();
    decision.stop();
    control.stop();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    return transport::process::run_service(argument_count, arguments,
                                           "Routes callers' requests to versions and endpoints.", run);
}

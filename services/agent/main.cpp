#include "agent/administration_worker.hpp"
#include "agent/agent_settings.hpp"
#include "agent/control_worker.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/program.hpp"
#include "transport/process/random.hpp"
#include "transport/process/signals.hpp"

#include <chrono>
#include <thread>

namespace {

using namespace buckthorndale; // NOLINT: a program's own file
namespace agent = services::agent;

constexpr auto flush_timeout = std::chrono::seconds{20};
constexpr auto flush_poll_interval = std::chrono::milliseconds{20};

/// Waits until all bills are in the platform or the timeout expires. The copies on other instances remain.
auto flush_bills(const agent::control_worker& control) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + flush_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(flush_poll_interval);
        if (control.bills_held() == 0)
            return true;
    }
    return false;
}

auto run(const transport::process::command_line& command) -> void
{
    const auto settings = agent::read_agent_settings(command.settings_path_);
    if (command.is_check_)
        return;
    transport::process::block_handled_signals();
    transport::logging::set_up(settings.log_);
    const auto log = transport::logging::logger{"agent"};
    const auto incarnation = state::incarnation{transport::process::system_random{}.next()};

    auto administration = agent::administration_worker{settings};
    auto control = agent::control_worker{settings, incarnation};
    administration.connect(control.from_administration());
    control.connect(administration.from_control());
    control.start();
    administration.start();
    log.info("Agent " + settings.instance_.text() + " listens on " + settings.control_.text() + ".");

    transport::process::wait_for_stop();
    log.info("Shutting down: writing bills to the platform.");
    control.begin_shutdown();
    if (!flush_bills(control))
        log.warn("Some bills are not in the platform; other instances hold copies and will write them.");
    administration.stop();
    control.stop();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    return transport::process::run_service(
        argument_count, arguments,
        "Synchronises configuration, claims and bills of an instance with the other instances.", run);
}

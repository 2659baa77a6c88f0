#include "front/control_worker.hpp"
#include "front/decision_worker.hpp"
#include "front/front_settings.hpp"
#include "front/network_worker.hpp"
#include "state/error.hpp"
#include "transport/logging/log_text.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/program.hpp"
#include "transport/process/signals.hpp"

#include <chrono>

namespace {

using namespace buckthorndale; // NOLINT: not a header
namespace front = services::front;
namespace process = transport::process;

/// The load balancer probes once a second and removes an instance after two failed probes; until then it
/// sends new connections.
constexpr auto load_balancer_delay = state::duration{std::chrono::milliseconds{2400}};
/// Time for requests that were in transit when the last idle connections were closed.
constexpr auto settling_time = state::duration{std::chrono::milliseconds{800}};
/// Fraction of the stop timeout after which unfinished requests are ended, before the process is killed.
constexpr auto drain_fraction = 0.92;
/// Time for the answers to requests that were still unfinished then.
constexpr auto last_answers_time = state::duration{std::chrono::milliseconds{200}};
constexpr auto last_answers_poll_interval = state::duration{std::chrono::milliseconds{10}};
constexpr auto drain_poll_interval = state::duration{std::chrono::milliseconds{100}};
constexpr auto signal_timeout = state::duration{std::chrono::seconds{30}};

auto reload(const std::string& path, const transport::logging::logger& log) -> void
{
    try {
        front::read_front_settings(path);
        log.info("settings file is valid; changes take effect at the next start");
    } catch (const state::error& fault) {
        log.error(std::string{"settings file rejected reason=\""} + fault.what() + "\"");
    }
}

auto wait_for_stop(const std::string& path, const transport::logging::logger& log) -> void
{
    while (true) {
        const auto signal = process::wait_for_signal(signal_timeout);
        if (signal == process::signal_kind::stop)
            return;
        if (signal == process::signal_kind::reload)
            reload(path, log);
    }
}

/// Ends the requests that are unfinished when the time for the stop is over; each caller gets an answer.
auto end_requests(const front::decision_worker& decision, front::control_worker& control,
                  const front::network_worker& network, const transport::logging::logger& log) -> void
{
    log.warn("stopping requests_cut=" + std::to_string(decision.requests_inside()) +
             " reason=\"they did not end in time\"");
    control.end_stop();
    const auto clock = process::system_clock{};
    const auto deadline = clock.now() + last_answers_time;
    while (network.open_calls() > 0 && clock.now() < deadline)
        process::wait_for_signal(last_answers_poll_interval);
    log.info("stopped requests_without_answer=" + std::to_string(network.open_calls()));
}

/// Waits for unfinished requests; the load balancer sends new ones for a while after the stop signal. Returns
/// whether all have ended in time.
auto drain(const front::front_settings& settings, const front::decision_worker& decision,
           front::network_worker& network, const transport::logging::logger& log) -> bool
{
    const auto clock = process::system_clock{};
    const auto started_at = clock.now();
    const auto drain_timeout =
        std::chrono::duration_cast<state::duration>(settings.stop_timeout_ * drain_fraction);
    while (clock.now() - started_at < drain_timeout) {
        process::wait_for_signal(drain_poll_interval);
        const auto elapsed = clock.now() - started_at;
        if (elapsed >= load_balancer_delay)
            network.close_idle();
        const auto is_empty = decision.requests_inside() == 0 && network.open_calls() == 0;
        if (elapsed >= load_balancer_delay + settling_time && is_empty) {
            log.info("stopped requests_cut=0");
            return true;
        }
    }
    return false;
}

auto run(const process::command_line& command) -> void
{
    const auto settings = front::read_front_settings(command.settings_path_);
    if (command.is_check_)
        return;
    process::block_handled_signals();
    transport::logging::set_up(settings.log_);
    const auto log = transport::logging::logger{"front"};

    auto decision = front::decision_worker{settings};
    auto control = front::control_worker{settings};
    auto network = front::network_worker{settings, [&] { return decision.is_ready(); },
                                         [&] { return decision.requests_inside(); },
                                         [&] { return decision.endpoint_counts(); }, control.gauge()};
    decision.connect(network.from_decision(), control.from_decision());
    control.connect(decision.from_control(),
                    [&](const state::caller_limits& limits) { network.set_limits(limits); });
    network.connect(decision.from_network());
    control.start();
    decision.start();
    network.start();
    log.info("started instance=" + transport::logging::field_text(settings.instance_.text()) +
             " release=" + process::release_version() + " callers=" + settings.caller_address_.text());

    wait_for_stop(command.settings_path_, log);
    log.info("stopping requests_inside=" + std::to_string(decision.requests_inside()));
    control.begin_stop();
    network.announce_closing();
    const auto is_drained = drain(settings, decision, network, log);
    if (!is_drained)
        end_requests(decision, control, network, log);
    network.stop();
    decision.stop();
    control.stop();
}

} // namespace

auto main(int argument_count, char** arguments) -> int
{
    return process::run_service(argument_count, arguments, "Routes callers' requests on the users' platform.",
                                run);
}

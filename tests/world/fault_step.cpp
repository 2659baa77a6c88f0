#include "world/fault_step.hpp"

#include <array>
#include <string_view>

namespace buckthorndale::tests::world {

namespace {

constexpr auto step_timeout = state::duration{std::chrono::seconds{20}};
/// Long enough for some routers to receive a change, too short for all of them.
constexpr auto partial_propagation_time = state::duration{std::chrono::milliseconds{600}};

/// The text in a trace line that marks a step caused by the traffic.
auto trace_marker_of(fault_step step) -> std::string_view
{
    switch (step) {
    case fault_step::admission:
        return " admit ";
    case fault_step::claim:
        return " claiming ";
    case fault_step::dispatch:
        return " dispatch ";
    case fault_step::stream:
        return " streaming ";
    case fault_step::escalation:
        return " escalate ";
    case fault_step::bill:
        return " billing ";
    default:
        return {};
    }
}

/// Triggers a step that operators cause. Returns false for steps that the traffic causes.
auto trigger_step(random_simulation& run, fault_step step) -> bool
{
    const auto model = state::model_name{"small"};
    auto roll_out = state::roll_out{.model_ = model,
                                    .from_ = state::version_name{"1"},
                                    .to_ = state::version_name{"2"},
                                    .share_ = state::permille{500}};
    switch (step) {
    case fault_step::change_accepted:
    case fault_step::change_spread:
        run.change_configuration(state::profile{.name_ = state::profile_name{"spare"},
                                                .versions_ = {state::version_key_from_text("large@1")}});
        break;
    case fault_step::roll_out_step:
        run.change_configuration(roll_out);
        break;
    case fault_step::withdrawal:
        run.withdraw(state::version_key_from_text("small@2"));
        break;
    case fault_step::shutdown:
        run.random_instance().begin_shutdown();
        break;
    default:
        return false;
    }
    if (step == fault_step::change_spread)
        run.run_for(partial_propagation_time);
    return true;
}

} // namespace

auto to_string(fault_step step) -> std::string
{
    constexpr auto names = std::array<std::string_view, fault_step_count>{
        "change accepted", "change spread", "roll-out step", "withdrawal", "admission", "claim",
        "dispatch",        "stream",        "escalation",    "bill",       "shutdown"};
    return std::string{names.at(static_cast<std::size_t>(step))};
}

auto run_to_step(random_simulation& run, fault_step step, const std::function<void()>& at_step) -> bool
{
    // Lets some traffic get under way first.
    run.run_for(std::chrono::seconds{2});
    if (trigger_step(run, step)) {
        at_step();
        return true;
    }
    auto is_reached = false;
    run.context().on_trace_line_ = [&](const std::string& line) {
        if (is_reached || line.find(trace_marker_of(step)) == std::string::npos)
            return;
        is_reached = true;
        run.record_step_line(line);
        run.context().time_.after({}, at_step);
    };
    run.run_for(step_timeout);
    run.context().on_trace_line_ = {};
    return is_reached;
}

} // namespace buckthorndale::tests::world

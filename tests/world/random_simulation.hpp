#pragma once

#include "coordination/routing/engine_settings.hpp"
#include "world/caller_population.hpp"
#include "world/fake_endpoint.hpp"
#include "world/simulated_instance.hpp"
#include "world/simulation_context.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// What a run may do to the system.
enum class fault_kind : std::uint8_t {
    kill_instance,
    freeze_instance,
    cut_both_ways,
    cut_one_way,
    silent_connections,
    platform_down,
    platform_slow,
    answers_lost,
    operators_race,
    endpoint_crash,
    endpoint_leaves,
    crashing_request,
    stream_breaks,
    version_withdrawn,
    data_centre_cut_off,
    graceful_shutdown,
    pool_full,
    version_turns_bad,
};

inline constexpr auto data_centres = std::array{"east", "west"};

inline constexpr auto fault_kind_count = 18;

auto to_string(fault_kind kind) -> std::string;

/// One run: two data centres with their instances and endpoints, callers, operators and faults.
class random_simulation {
public:
    random_simulation(std::uint64_t seed, coordination::routing::engine_settings settings);

    /// Runs for the time with random faults, then heals everything, lets it settle, and checks the far ends.
    /// Throws state::invariant_breach.
    auto run(state::duration time) -> void;

    /// Injects one fault now and heals it after a while.
    auto inject(fault_kind kind) -> void;

    /// Lets the system come up, then starts the callers.
    auto begin_traffic() -> void;

    /// Injects a fault for the matrix, at the instance that the step's trace line is about where the
    /// fault strikes one.
    auto inject_at_step(fault_kind kind) -> void;

    /// Remembers the trace line of the step, for inject_at_step.
    auto record_step_line(const std::string& line) -> void { step_trace_line_ = line; }

    /// Runs without injecting faults, for the fault matrix.
    auto run_for(state::duration time) -> void;

    /// Heals all faults, waits until the system has settled and checks the far ends.
    auto settle_and_check() -> void;

    auto context() -> simulation_context& { return context_; }

    auto context() const -> const simulation_context& { return context_; }

    auto callers() -> caller_population& { return callers_; }

    /// A random living instance.
    auto random_instance() -> simulated_instance&;
    auto random_endpoint() -> fake_endpoint&;

    /// Puts a change into force, as operators do.
    auto change_configuration(state::change_content content) -> bool;

    /// Cuts the instance of the step off from the others, and kills it soon after.
    auto isolate_and_kill_at_step() -> void;

    /// Crashes all engines, and restarts them after the time.
    auto crash_engines(state::duration time) -> void;

    auto withdraw(const state::version_key& version) -> void;

    auto instances() -> std::vector<simulated_instance*>;

private:
    auto build() -> void;
    auto add_endpoint(const std::string& id, const std::string& data_centre, state::endpoint_kind kind)
        -> void;
    auto configure() -> void;
    auto send(const submission& request) -> bool;
    auto publish_list_later() -> void;
    auto schedule_traffic() -> void;
    auto schedule_faults() -> void;
    auto cut_link(const std::string& one, const std::string& other, bool is_both_ways, state::duration time)
        -> void;
    auto isolate_data_centre(state::duration time) -> void;
    auto race_operators() -> void;
    auto kill_random_instance(state::duration time) -> void;
    auto stop_random_instance(state::duration time) -> void;
    auto restart_after(simulated_instance& instance, state::duration time) -> void;
    auto drain_random_endpoint(state::duration time) -> void;

    /// The configuration as the platform has it, which a change must follow.
    auto platform_configuration() const -> std::shared_ptr<const state::configuration>;

    /// Other users take all places of a data centre's endpoints for a while.
    auto fill_pool(state::duration time) -> void;
    auto may_kill() -> bool;
    auto find_step_instance() const -> const simulated_instance*;
    auto check_at_most_once() const -> void;
    auto check_not_run() const -> void;
    auto check_bills() -> void;
    auto check_withdrawn() const -> void;
    auto check_leaving() const -> void;
    auto check_configuration() -> void;
    auto check_crashes() -> void;

    simulation_context context_;
    coordination::routing::engine_settings settings_;
    std::vector<run_record> runs_;
    caller_population callers_;
    std::map<state::endpoint_id, std::unique_ptr<fake_endpoint>> endpoints_;
    std::map<state::instance_id, std::unique_ptr<simulated_instance>> instances_;
    std::map<state::version_key, state::time_point> withdrawn_at_;
    std::vector<state::change_id> accepted_changes_;
    state::time_point last_cut_end_;
    std::deque<state::time_point> recent_kills_;
    std::uint64_t last_change_{0};
    /// Whether routers were killed, frozen or cut off, so that word of a crash may not have spread in time.
    bool had_router_faults_{false};
    std::string step_trace_line_;
    bool targets_step_instance_{false};
    bool is_injecting_{false};
    bool has_traffic_{false};
};

} // namespace buckthorndale::tests::world

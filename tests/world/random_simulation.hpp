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

/// Faults that a run may inject.
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

/// Simulates two data centres with their instances and endpoints, callers, operators and faults.
class random_simulation {
public:
    random_simulation(std::uint64_t seed, coordination::routing::engine_settings settings);

    /// Runs for the given time with random faults, then calls settle_and_check.
    /// Throws state::invariant_violation.
    auto run(state::duration time) -> void;

    /// Injects one fault now; faults that last are ended after a random time.
    auto inject(fault_kind kind) -> void;

    /// Lets the system start up, then starts the callers.
    auto begin_traffic() -> void;

    /// Injects a fault of the fault matrix. A fault of a single instance hits the instance named in the
    /// trace line of the step.
    auto inject_at_step(fault_kind kind) -> void;

    /// Records the trace line of the step for inject_at_step.
    auto record_step_line(const std::string& line) -> void { step_trace_line_ = line; }

    /// Advances virtual time; injects no faults of its own.
    auto run_for(state::duration time) -> void;

    /// Stops the traffic, waits until faults have ended, restarts stopped instances, and checks the
    /// guarantees against what callers, endpoints and the platform recorded.
    auto settle_and_check() -> void;

    auto context() -> simulation_context& { return context_; }

    auto context() const -> const simulation_context& { return context_; }

    auto callers() -> caller_population& { return callers_; }

    /// Returns a random instance, or the instance of the step while a fault of the matrix is injected.
    auto random_instance() -> simulated_instance&;
    auto random_endpoint() -> fake_endpoint&;

    /// Submits a configuration change as an operator; returns false when the platform rejects it.
    auto change_configuration(state::change_content content) -> bool;

    /// Partitions the instance of the step from the platform and all other instances, then kills it.
    auto isolate_and_kill_at_step() -> void;

    /// Crashes all engines and restarts them after the given time.
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

    /// The configuration stored by the platform; the next change must be based on it.
    auto platform_configuration() const -> std::shared_ptr<const state::configuration>;

    /// Makes all endpoints of a data centre decline calls for a while, as if other users took their slots.
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
    /// Whether routers were killed, frozen, stopped or partitioned, so that suspects of a crash may not have
    /// been announced in time.
    bool had_router_faults_{false};
    std::string step_trace_line_;
    bool targets_step_instance_{false};
    bool is_injecting_{false};
    bool has_traffic_{false};
};

} // namespace buckthorndale::tests::world

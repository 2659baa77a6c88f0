#pragma once

#include "coordination/forwarding/forward_engine.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/scheduler.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// Parameters of a simulation of the forward engine.
struct forward_plan {
    std::uint64_t seed_{1};
    /// How long callers send requests.
    state::duration duration_{std::chrono::seconds{30}};
    /// Requests a second.
    double rate_{40};
    std::size_t endpoints_{6};
    /// Requests that an endpoint processes concurrently; others wait in its queue.
    std::int32_t slots_{8};
    state::duration work_{std::chrono::milliseconds{60}};
    /// Whether endpoints become unreachable, hang, decline, break connections, or leave and are replaced.
    bool has_faults_{true};
    /// Whether endpoints announce their shutdown in their responses alone, and ask for pauses.
    bool has_notices_{false};
    /// Whether a new version is rolled out that fails half of its requests.
    bool has_bad_version_{false};
    bool uses_latency_window_{true};
};

/// The results of a simulation.
struct forward_result {
    std::int64_t sent_{0};
    std::int64_t in_time_{0};
    std::int64_t late_{0};
    std::int64_t refused_{0};
    std::int64_t retries_{0};
    /// Endpoints that announced their shutdown to the engine.
    std::int64_t announced_{0};
    /// Pauses that endpoints asked the engine for.
    std::int64_t pauses_{0};
    /// Requests that ran on the bad version.
    std::int64_t bad_version_runs_{0};
    /// Violations of the guarantees that callers and endpoints observed.
    std::vector<std::string> violations_;
};

/// Runs one forward engine in virtual time between simulated callers and endpoints.
class forward_simulation {
public:
    explicit forward_simulation(forward_plan plan);
    ~forward_simulation();

    forward_simulation(const forward_simulation&) = delete;
    auto operator=(const forward_simulation&) -> forward_simulation& = delete;

    auto run() -> forward_result;

    // The engine's port.
    auto dispatch(const coordination::forwarding::forward_command& command) -> void;
    auto cancel(state::attempt_handle handle) -> void;
    auto release(state::request_handle request, state::attempt_handle attempt) -> void;
    auto finish(state::request_handle handle, state::attempt_handle attempt) -> void;
    auto refuse(state::request_handle handle, const coordination::routing::refusal& why) -> void;
    auto announce_crash(const coordination::forwarding::crash_notice& crash) -> void;
    auto announce_cleared_parts(const std::vector<coordination::forwarding::cleared_part>& cleared) -> void;
    auto announce_blocked_parts(const std::vector<coordination::suspicion::blocked_part>& blocked) -> void;
    auto announce_leaving(const coordination::forwarding::leaving_endpoint& leaving) -> void;

    auto identify(const state::endpoint_id& /*endpoint*/, const state::network_address& /*address*/,
                  const std::string& /*path*/) -> void
    {}

    auto probe(const state::endpoint_id& endpoint, const state::network_address& address,
               const std::string& path) -> void;
    auto announce_limits(const coordination::forwarding::limit_message& message) -> void;
    auto ask_for_permits(const coordination::forwarding::limit_message& message) -> void;
    auto send_limits(const state::instance_id& to, const coordination::forwarding::limit_message& message)
        -> void;
    auto log(const coordination::forwarding::forward_log& line) -> void;

private:
    enum class endpoint_condition : std::uint8_t {
        healthy,
        unreachable,
        silent,
        declining,
        breaking,
        /// Turns requests away and asks for a pause.
        pausing,
    };

    /// A time in which an endpoint wants no requests.
    struct requested_pause {
        state::time_point begins_at_;
        state::time_point ends_at_;
        int requests_{0};
    };

    struct fake_endpoint_state {
        state::registered_endpoint listed_;
        endpoint_condition condition_{endpoint_condition::healthy};
        /// Whether the engine was told that the endpoint is leaving.
        bool is_known_to_leave_{false};
        /// Whether the store has an entry for the endpoint.
        bool is_listed_{true};
        /// Whether its responses announce its shutdown.
        bool is_leaving_{false};
        /// Whether the engine has received such a response.
        bool has_announced_leaving_{false};
        std::vector<requested_pause> pauses_;
        std::int32_t busy_{0};
        std::deque<state::attempt_handle> waiting_;
    };

    struct endpoint_attempt {
        coordination::forwarding::forward_command command_;
        bool is_cancelled_{false};
        bool is_running_{false};
    };

    struct caller_request {
        state::request_kind kind_{state::request_kind::safe};
        state::time_point arrived_;
        state::duration objective_{0};
        state::time_point deadline_;
        int runs_{0};
        int sends_{0};
        bool is_over_{false};
        bool has_left_{false};
    };

    /// Defined in the source file, since the engine needs this class to be complete as its port.
    struct engine_holder;

    auto make_table() const -> std::shared_ptr<state::routing_table>;
    auto publish() -> void;
    auto add_endpoint(const state::version_name& version) -> void;
    auto schedule_caller() -> void;
    auto schedule_fault() -> void;
    auto schedule_tick() -> void;
    auto send_request() -> void;
    auto inject_fault() -> void;
    auto inject_notice(const state::endpoint_id& id) -> void;
    /// Delivers the notice in the headers of an attempt's response.
    auto deliver_notice(state::attempt_handle handle) -> void;
    auto ask_for_pause(state::attempt_handle handle) -> void;
    /// Records a violation if the endpoint did not want this request.
    auto check_notices(fake_endpoint_state& where) -> void;
    auto begin_work(fake_endpoint_state& where, state::attempt_handle handle) -> void;
    auto begin_waiting(fake_endpoint_state& where) -> void;
    auto end_work(state::endpoint_id where, state::attempt_handle handle) -> void;
    auto report_outcome(state::attempt_handle handle, coordination::forwarding::forward_outcome outcome)
        -> void;

    auto record_violation(const std::string& text) -> void { result_.violations_.push_back(text); }

    forward_plan plan_;
    scheduler time_;
    virtual_clock clock_{time_};
    coordination::time::seeded_random random_;
    std::unique_ptr<engine_holder> holder_;
    std::map<state::endpoint_id, fake_endpoint_state> endpoints_;
    std::map<state::attempt_handle, endpoint_attempt> attempts_;
    std::map<state::request_handle, caller_request> requests_;
    state::request_handle last_request_;
    std::uint64_t last_endpoint_{0};
    forward_result result_;
};

} // namespace buckthorndale::tests::world

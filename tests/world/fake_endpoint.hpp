#pragma once

#include "coordination/routing/attempt_command.hpp"
#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "world/simulation_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// Identifies one submission of a request to a router.
using submission_id = state::strong_number<struct submission_id_tag, std::uint64_t>;

/// A request as an endpoint receives it.
struct endpoint_call {
    submission_id submission_;
    state::workspace_id workspace_;
    state::request_id request_;
    state::target_kind target_{state::target_kind::model};
    std::string idempotency_key_;
    state::version_key version_;
    std::uint64_t offset_{0};
    /// Whether the request crashes the endpoint that runs it.
    bool is_poison_{false};
};

/// Callbacks for the events of a call; the endpoint adds the network delay.
struct call_events {
    std::function<void(std::uint64_t offset)> on_chunk_;
    std::function<void(std::uint64_t chunks)> on_end_;
    std::function<void(bool is_leaving)> on_declined_;
    std::function<void()> on_refused_connection_;
    std::function<void(bool has_crashed)> on_broken_;
};

/// Records that an endpoint started a request, for the checks at the end of a run.
struct run_record {
    endpoint_call call_;
    state::endpoint_id endpoint_;
    state::time_point started_;
    bool was_leaving_{false};
};

/// The number of chunks in a request's answer, which is the same on every endpoint.
auto chunk_count_of(const state::request_id& request) -> std::uint64_t;

/// A simulated model engine or service.
class fake_endpoint {
public:
    fake_endpoint(simulation_context& context, state::endpoint description, std::vector<run_record>& runs)
        : context_{context}, description_{std::move(description)}, runs_{runs}
    {}

    /// Starts a call from a router. Returns the number that cancels it.
    auto call(const std::string& router, const endpoint_call& request, call_events events) -> std::uint64_t;

    auto cancel(std::uint64_t number) -> void { running_.erase(number); }

    /// Crashes the endpoint; all running calls fail.
    auto crash() -> void;
    auto restart() -> void;

    /// Open connections deliver nothing from now on; new ones work.
    auto go_silent() -> void;

    /// Breaks the connection of one running call.
    auto break_one_stream() -> void;

    /// Makes the endpoint decline all calls, as if other users took its slots, or accept them again.
    auto mark_full(bool is_full) -> void { is_full_ = is_full; }

    auto begin_leaving() -> void;

    auto cancel_leaving() -> void { description_.state_ = state::instance_state::live; }

    auto is_alive() const -> bool { return is_alive_; }

    auto is_leaving() const -> bool { return description_.state_ == state::instance_state::leaving; }

    auto id() const -> const state::endpoint_id& { return description_.id_; }

    auto description() const -> const state::endpoint& { return description_; }

    auto leaving_since() const -> std::optional<state::time_point> { return leaving_since_; }

private:
    struct running_call {
        std::string router_;
        endpoint_call request_;
        call_events events_;
        std::uint64_t next_{0};
        bool is_silent_{false};
    };

    auto begin(std::uint64_t number, const std::string& router, const endpoint_call& request,
               call_events events) -> void;
    auto step(std::uint64_t number) -> void;
    auto deliver(const std::string& router, scheduler::action event) -> void;

    simulation_context& context_;
    state::endpoint description_;
    std::vector<run_record>& runs_;
    std::map<std::uint64_t, running_call> running_;
    std::uint64_t last_{0};
    bool is_alive_{true};
    bool is_full_{false};
    std::optional<state::time_point> leaving_since_;
};

} // namespace buckthorndale::tests::world

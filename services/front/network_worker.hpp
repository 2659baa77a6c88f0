#pragma once

#include "front/events.hpp"
#include "front/forward_runner.hpp"
#include "front/forwarded_call.hpp"
#include "front/front_settings.hpp"
#include "front/traffic_metrics.hpp"
#include "transport/http/caller_memory.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/worker/ticker.hpp"
#include "transport/worker/worker.hpp"

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace buckthorndale::services::front {

/// Transfers data between callers and endpoints on its own thread. All decisions are made by the decision
/// worker.
class network_worker {
public:
    /// The functions tell whether requests can be served, how many unfinished ones the decision worker knows,
    /// and how many endpoints name a limit; all may be called on any thread.
    network_worker(const front_settings& settings, std::function<bool()> is_ready,
                   std::function<std::size_t()> decision_requests,
                   std::function<forwarding::endpoint_counts()> endpoint_counts, const store_gauge& store);

    /// Sets the ring to the decision worker; must be called before start().
    auto connect(transport::ring::bounded_ring<network_event>& decision) -> void { decision_ = &decision; }

    auto start() -> void;
    auto stop() -> void;

    auto from_decision() -> transport::ring::bounded_ring<network_action>& { return from_decision_; }

    /// Applies the limits for callers; any thread.
    auto set_limits(const state::caller_limits& limits) -> void;

    /// From now on each connection is closed after its answer; any thread.
    auto announce_closing() -> void;

    /// Closes connections without a request; any thread.
    auto close_idle() -> void;

    /// The number of requests whose answers are not completely written; any thread. The decision worker
    /// removes a request before its last bytes are sent.
    auto open_calls() const -> std::size_t { return open_calls_.load(); }

private:
    auto load() const -> network_load;
    auto serve_caller(transport::http::exchange& exchange, bool is_relayed)
        -> transport::http::awaitable<void>;
    auto serve_probe(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    /// The only place where a call ends, whoever notices its end first: cancels its attempts, ends the wait
    /// for its answer, and tells the decision worker unless that has decided on the answer.
    auto end_call(state::request_handle handle) -> void;
    auto write_answer(transport::http::exchange& exchange, forwarded_call& call)
        -> transport::http::awaitable<void>;
    auto perform(network_action& action) -> void;
    auto begin_attempt(const forwarding::forward_command& command) -> void;
    auto run_attempt(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt)
        -> transport::http::awaitable<void>;
    /// Reports streams whose endpoints send nothing to the decision worker.
    auto report_stalled_attempts() -> void;
    auto probe(probe_endpoint action) -> transport::http::awaitable<void>;
    auto identify(identify_endpoint action) -> transport::http::awaitable<void>;
    auto cancel(state::attempt_handle attempt) -> void;
    auto release(const release_attempt& action) -> void;
    auto finish(const finish_request& action) -> void;
    auto refuse(const refuse_request& action) -> void;
    auto find_call(state::request_handle handle) -> std::shared_ptr<forwarded_call>;
    auto post_to_decision(network_event event) -> void;

    transport::process::system_clock clock_;
    transport::logging::logger log_{"network"};
    transport::worker::worker worker_{"network"};
    std::function<bool()> is_ready_;
    std::function<std::size_t()> decision_requests_;
    std::function<forwarding::endpoint_counts()> endpoint_counts_;
    const store_gauge& store_;
    traffic_metrics metrics_;
    transport::http::client client_;
    forward_runner runner_;
    /// What the callers of all servers below make this instance hold.
    std::shared_ptr<transport::http::caller_memory> memory_;
    transport::http::server callers_;
    /// Requests that other instances pass on.
    transport::http::server relayed_;
    transport::http::server probes_;
    transport::worker::ticker stall_ticker_;
    state::time_point last_stall_check_{};
    transport::ring::bounded_ring<network_action> from_decision_;
    transport::ring::bounded_ring<network_event>* decision_{nullptr};
    std::unordered_map<state::request_handle, std::shared_ptr<forwarded_call>> calls_;
    std::unordered_map<state::attempt_handle, std::shared_ptr<forward_attempt>> attempts_;
    state::request_handle last_handle_;
    std::atomic<std::size_t> open_calls_{0};
};

} // namespace buckthorndale::services::front

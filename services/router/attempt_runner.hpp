#pragma once

#include "coordination/routing/attempt_result.hpp"
#include "router/caller_request.hpp"
#include "router/metrics.hpp"
#include "transport/http/client.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"

#include <functional>
#include <memory>

namespace buckthorndale::services::router {

/// Runs attempts at endpoints: sends the request, reads the answer and reports the result of the attempt.
/// This is the adapter for the API of engines and plain services; another engine API needs an adapter of its
/// own.
class attempt_runner {
public:
    attempt_runner(transport::http::client& client, metrics& counts) : client_{client}, metrics_{counts} {}

    /// Called when the first chunk of the attempt is queued for the caller.
    using first_chunk_callback = std::function<void(state::attempt_handle)>;

    /// Runs an attempt to its end. Never throws. The result of a cancelled attempt must be ignored.
    auto run(std::shared_ptr<caller_request> request, std::shared_ptr<network_attempt> attempt,
             first_chunk_callback on_first_chunk)
        -> transport::http::awaitable<coordination::routing::attempt_result>;

private:
    struct progress {
        caller_request& request_;
        network_attempt& attempt_;
        coordination::routing::attempt_result result_;
        first_chunk_callback on_first_chunk_;
        bool has_end_mark_{false};
        /// Whether the answer names the request.
        bool is_named_{false};
        state::time_point last_chunk_at_;
    };

    auto execute(progress& state) -> transport::http::awaitable<void>;
    auto read_stream(progress& state) -> transport::http::awaitable<void>;
    auto read_plain_answer(progress& state) -> transport::http::awaitable<void>;
    auto process_event(progress& state, const std::string& id, std::string& data) -> bool;
    auto process_chunk(progress& state, std::string& data) -> void;
    auto check_headers(progress& state) -> bool;
    auto classify_error(progress& state, const transport::http::client_error& error)
        -> transport::http::awaitable<void>;
    auto build_request_head(const progress& state) const -> transport::http::request;

    transport::logging::logger log_{"network"};
    transport::http::client& client_;
    metrics& metrics_;
    transport::process::system_clock clock_;
};

/// Queues a chunk for the caller, preceded by answer_begun if it is the first of the answer.
auto enqueue_chunk(caller_request& request, const network_attempt& attempt, std::string data) -> void;

} // namespace buckthorndale::services::router

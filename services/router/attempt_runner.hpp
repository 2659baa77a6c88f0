#pragma once

#include "coordination/routing/attempt_result.hpp"
#include "router/caller_request.hpp"
#include "router/metrics.hpp"
#include "transport/http/client.hpp"
#include "transport/process/clock.hpp"

#include <functional>
#include <memory>

namespace buckthorndale::services::router {

/// Runs attempts at endpoints: sends the request, follows the answer, and tells how it ended.
/// This is the adapter for engines and plain services; another engine API takes another one.
class attempt_runner {
public:
    attempt_runner(transport::http::client& client, metrics& counts) : client_{client}, metrics_{counts} {}

    /// Tells that the caller was given the first piece of the attempt.
    using first_piece_callback = std::function<void(state::attempt_handle)>;

    /// Runs an attempt to its end. Never throws; a cancelled attempt ends as broken.
    auto run(std::shared_ptr<caller_request> request, std::shared_ptr<network_attempt> attempt,
             first_piece_callback on_first_piece)
        -> transport::http::awaitable<coordination::routing::attempt_result>;

private:
    struct progress {
        caller_request& request_;
        network_attempt& attempt_;
        coordination::routing::attempt_result ending_;
        first_piece_callback on_first_piece_;
        bool has_end_mark_{false};
        state::time_point last_piece_;
    };

    auto run_checked(progress& state) -> transport::http::awaitable<void>;
    auto follow_stream(progress& state) -> transport::http::awaitable<void>;
    auto read_plain(progress& state) -> transport::http::awaitable<void>;
    auto take_event(progress& state, const std::string& id, std::string& data) -> bool;
    auto take_piece(progress& state, std::string& data) -> void;
    auto judge_header(progress& state) -> bool;
    auto judge_fault(progress& state, const transport::http::client_error& fault)
        -> transport::http::awaitable<void>;
    auto message_for(const progress& state) const -> transport::http::request;

    transport::http::client& client_;
    metrics& metrics_;
    transport::process::system_clock clock_;
};

/// Gives a piece out to the caller, preceded by the answer's head if it is the first.
auto give_out(caller_request& request, const network_attempt& attempt, std::string data) -> void;

} // namespace buckthorndale::services::router

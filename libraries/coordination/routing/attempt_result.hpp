#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthorndale::coordination::routing {

/// How an attempt ended.
enum class attempt_result_kind : std::uint8_t {
    /// Every chunk and the end marker were received.
    complete,
    /// No byte was sent to the endpoint.
    nothing_sent,
    /// The endpoint reported that it did no work because it is full or leaving.
    declined,
    /// The connection was lost or chunks were missing.
    broken,
    /// Nothing was received within the timeout.
    silent,
    /// The connection was lost and the endpoint no longer accepts connections.
    crashed,
    /// The endpoint returned an error of its own; the call may have run.
    failed,
    /// The endpoint rejected the request as invalid; another endpoint would do the same.
    rejected,
    /// The answer came from a version other than the requested one.
    wrong_version,
};

auto to_string(attempt_result_kind kind) -> std::string_view;

/// Whether the endpoint certainly did no work for the attempt.
constexpr auto is_not_run(attempt_result_kind kind) -> bool
{
    return kind == attempt_result_kind::nothing_sent || kind == attempt_result_kind::declined;
}

/// The result of an attempt, as reported to the request engine.
struct attempt_result {
    state::attempt_handle attempt_;
    attempt_result_kind kind_{attempt_result_kind::broken};
    /// Tokens that the endpoint reported for a complete answer, counted from its start.
    state::token_count tokens_;
    /// Chunks accepted so far over all attempts; this is the offset to resume at.
    std::uint64_t chunks_accepted_{0};
    /// Whether any chunk was sent to the caller.
    bool is_released_{false};
    /// Whether the endpoint reported that it is leaving.
    bool is_leaving_{false};
    /// The number of requests that the endpoint reported to be running, if any.
    std::optional<std::int32_t> reported_running_;
};

} // namespace buckthorndale::coordination::routing

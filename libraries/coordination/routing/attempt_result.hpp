#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthorndale::coordination::routing {

enum class attempt_result_kind : std::uint8_t {
    /// The end mark came and every piece before it.
    complete,
    /// Not one byte was sent to the endpoint.
    nothing_sent,
    /// The endpoint said that it did nothing because it is full or leaving.
    declined,
    /// The connection broke or pieces were missing.
    broken,
    /// Nothing came for longer than the limit.
    silent,
    /// The connection broke and the endpoint no longer takes connections.
    crashed,
    /// The endpoint answered with an error of its own; the call may have run.
    failed,
    /// The endpoint refused the request as wrong; sending it elsewhere would not help.
    rejected,
    /// The answer names another version than the one that was asked for.
    wrong_version,
};

auto to_string(attempt_result_kind kind) -> std::string_view;

/// Whether the attempt certainly did nothing at the endpoint.
constexpr auto is_not_run(attempt_result_kind kind) -> bool
{
    return kind == attempt_result_kind::nothing_sent || kind == attempt_result_kind::declined;
}

/// How an attempt ended.
struct attempt_result {
    state::attempt_handle attempt_;
    attempt_result_kind kind_{attempt_result_kind::broken};
    /// Tokens that the endpoint reported for a whole answer, counted from the answer's beginning.
    state::token_count tokens_;
    /// Pieces accepted so far, over all attempts: the offset to resume at.
    std::uint64_t chunks_accepted_{0};
    /// Whether the caller was given any piece.
    bool is_released_{false};
    /// Whether the endpoint said that it is leaving.
    bool is_leaving_{false};
    /// The number of requests the endpoint reported to hold, if it did.
    std::optional<std::int32_t> reported_running_;
};

} // namespace buckthorndale::coordination::routing

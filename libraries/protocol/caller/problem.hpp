#pragma once

#include "coordination/routing/refusal.hpp"
#include "state/error.hpp"
#include "state/identifiers.hpp"

#include <string>

namespace buckthorndale::protocol::caller {

/// The media type of problem details (RFC 9457).
inline constexpr auto problem_media_type = "application/problem+json";

/// The HTTP status for an error kind.
auto status_of(state::error_kind kind) -> unsigned;

/// Formats a refusal as problem details.
auto problem_text(const coordination::routing::refusal& why, const state::request_id& request) -> std::string;

/// Formats an error raised before the request was run as problem details; its run state is not-run.
auto problem_text(const state::error& fault) -> std::string;

/// Formats a problem that has a status but no error kind.
auto problem_text(unsigned status, const std::string& title, const std::string& detail,
                  coordination::routing::run_state run) -> std::string;

auto to_text(coordination::routing::run_state run) -> std::string;

} // namespace buckthorndale::protocol::caller

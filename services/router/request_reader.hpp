#pragma once

#include "router/caller_request.hpp"
#include "state/configuration.hpp"
#include "transport/http/types.hpp"

#include <memory>

namespace buckthorndale::services::router {

/// Whether the path is one of those under which callers send requests.
auto is_served_path(std::string_view path) -> bool;

/// Authenticates a caller's message and fills in the request: the workspace, the profile or the service, and
/// the fields that routing uses. Throws error of kind unauthenticated, forbidden, not_found or
/// invalid_request.
auto read_caller_request(transport::http::request message, const state::configuration& configuration,
                         caller_request& target) -> void;

} // namespace buckthorndale::services::router

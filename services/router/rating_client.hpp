#pragma once

#include "router/caller_request.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/client.hpp"

#include <optional>

namespace buckthorndale::services::router {

/// Asks the rating service to rate an answer. Returns nothing when there is no service, when it does not
/// answer in time, or when its answer is invalid. This is the adapter for the API of the rating service.
auto fetch_rating(transport::http::client& client, std::optional<state::network_address> service,
                  state::duration timeout, const caller_request& request, const network_attempt& attempt)
    -> transport::http::awaitable<std::optional<state::permille>>;

} // namespace buckthorndale::services::router

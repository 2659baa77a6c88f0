#pragma once

#include "state/units.hpp"

namespace buckthorndale::coordination::forwarding {

/// How long an attempt waits for its response headers before it is checked whether its endpoint is reached.
///
/// Load pattern: links that accept connections and carry nothing, so that only the absence of answers shows
/// their loss. `expected` is the forecast time to first byte. With `is_service_silent`, no endpoint of the
/// service has answered since the attempt began, and a loss of this instance's own links is likelier than
/// one slow endpoint.
auto check_after(state::duration objective, state::duration expected, bool is_service_silent)
    -> state::duration;

} // namespace buckthorndale::coordination::forwarding

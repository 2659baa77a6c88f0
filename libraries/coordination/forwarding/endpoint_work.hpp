#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::forwarding {

/// The work that routers have queued at an endpoint: the summed times to first byte of the requests that
/// still wait for their response headers.
struct endpoint_work {
    state::endpoint_id endpoint_;
    state::duration pending_{0};

    auto operator==(const endpoint_work&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

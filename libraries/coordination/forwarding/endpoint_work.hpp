#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::forwarding {

/// What routers have sent to an endpoint and wait for: the time until the heads of those answers, had the
/// endpoint nothing else to do.
struct endpoint_work {
    state::endpoint_id endpoint_;
    state::duration pending_{0};

    auto operator==(const endpoint_work&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

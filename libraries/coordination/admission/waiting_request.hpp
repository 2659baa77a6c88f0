#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::admission {

/// A request that waits for its service, as a line sees it.
struct waiting_request {
    state::request_handle handle_;
    state::workspace_id workspace_;
    /// 0 is the most urgent.
    std::int32_t priority_{0};
    /// The time that the request is expected to take at an endpoint.
    state::duration work_{0};
};

} // namespace buckthorndale::coordination::admission

#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// A log record of one decision about a forwarded request and the reason for it.
struct forward_log {
    state::request_id request_;
    std::string action_;
    std::string route_;
    state::endpoint_id endpoint_;
    std::string model_;
    std::int32_t attempt_{0};
    std::string reason_;
    /// The configuration that the decision is based on.
    state::generation generation_;
    state::duration since_arrival_{0};
};

} // namespace buckthorndale::coordination::forwarding

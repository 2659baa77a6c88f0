#pragma once

#include "state/identifiers.hpp"

#include <cstdint>

namespace buckthorndale::coordination::forwarding {

/// Tells the other instances that an endpoint which fails after a few declines has just declined a request.
struct decline_news {
    state::endpoint_id endpoint_;
    std::uint64_t incarnation_{0};
    /// The declines a second that the endpoint bears.
    double max_declines_{0};

    auto operator==(const decline_news&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

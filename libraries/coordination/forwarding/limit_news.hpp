#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::forwarding {

/// What instances tell each other about the limit that an endpoint names.
struct limit_news {
    state::endpoint_id endpoint_;
    /// The start time reported by the endpoint; 0 if it reports none.
    std::uint64_t incarnation_{0};
    /// Requests a second from all instances together; 0 if the endpoint no longer names a limit.
    double rate_{0};
    /// How long ago the newest response that says so arrived.
    state::duration seen_ago_{0};
    /// How long ago the limit was first known; the instances' turns are counted from there.
    state::duration began_ago_{0};

    auto operator==(const limit_news&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

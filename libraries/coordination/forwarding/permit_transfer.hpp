#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::forwarding {

/// Permits for an endpoint that names a limit. An instance asks another one for them, with `valid_for_` zero,
/// or hands some of its own over, which it then no longer has.
struct permit_transfer {
    state::endpoint_id endpoint_;
    std::uint64_t incarnation_{0};
    std::int32_t count_{0};
    /// How long the permits may still be used.
    state::duration valid_for_{0};

    auto operator==(const permit_transfer&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

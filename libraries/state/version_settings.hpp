#pragma once

#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>

namespace buckthorndale::state {

/// The work that a version may receive.
enum class version_state : std::uint8_t {
    /// All work.
    serving,
    /// Requests of sessions that are pinned to it, and no new sessions.
    draining,
    /// None; a retry, a resume and the next request of a pinned session count as new work.
    withdrawn,
};

/// One version of a model, as configured by operators.
struct version_settings {
    version_key key_;
    version_state state_{version_state::serving};
    /// The price per thousand generated tokens.
    micro_credits price_per_thousand_tokens_;
    /// The prior for the share of answers that are rated good, used until pass rates are learned.
    permille expected_quality_;

    auto operator==(const version_settings&) const -> bool = default;
};

} // namespace buckthorndale::state

#pragma once

#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>

namespace buckthorndale::state {

enum class roll_out_state : std::uint8_t { running, paused, halted, complete };

/// The gradual replacement of one version of a model by another.
struct roll_out {
    model_name model_;
    version_name from_;
    version_name to_;
    /// The share of new sessions that goes to the new version.
    permille share_;
    roll_out_state state_{roll_out_state::running};
    /// Whether the instances advance and halt it based on evidence; otherwise operators do.
    bool is_automatic_{false};
    /// The minimum time that an automatic roll-out stays at one share.
    duration min_step_duration_{std::chrono::seconds{60}};

    auto from_key() const -> version_key { return {.model_ = model_, .version_ = from_}; }

    auto to_key() const -> version_key { return {.model_ = model_, .version_ = to_}; }

    auto operator==(const roll_out&) const -> bool = default;
};

} // namespace buckthorndale::state

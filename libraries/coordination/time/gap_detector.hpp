#pragma once

#include "state/units.hpp"

namespace buckthorndale::coordination::time {

/// Detects that the process was suspended: the clock jumped between two consecutive observations.
class gap_detector {
public:
    explicit gap_detector(state::duration max_gap) : max_gap_{max_gap} {}

    /// Records the current time. Returns whether the time since the previous call exceeds the maximum gap.
    auto observe(state::time_point now) -> bool
    {
        const auto was_frozen = has_observed_ && now - last_observation_ > max_gap_;
        has_observed_ = true;
        last_observation_ = now;
        return was_frozen;
    }

private:
    state::duration max_gap_;
    state::time_point last_observation_;
    bool has_observed_{false};
};

} // namespace buckthorndale::coordination::time

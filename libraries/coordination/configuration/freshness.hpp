#pragma once

#include "coordination/time/gap_detector.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::configuration {

/// Whether the agent may confirm that its configuration is fresh: since its start and since it was last
/// suspended, it has synchronised with the platform or a peer, or could reach neither for a while.
class freshness {
public:
    /// Records a reading of the clock; a gap between readings means that the process was suspended.
    auto observe(state::time_point now) -> void
    {
        if (!gap_.observe(now) && has_started_)
            return;
        has_started_ = true;
        is_fresh_ = false;
        stale_since_ = now;
    }

    /// Records that the platform or a peer sent all that it knows, in response to a request made at asked_at.
    /// A response that was in transit while the process was suspended is only as recent as its request.
    auto mark_synchronised(state::time_point asked_at) -> void
    {
        is_fresh_ = is_fresh_ || asked_at >= stale_since_;
    }

    /// Whether to confirm freshness. An isolated node continues with the configuration that it has.
    auto may_confirm(state::time_point now) const -> bool
    {
        return is_fresh_ || (has_started_ && now - stale_since_ > isolation_timeout);
    }

private:
    static constexpr state::duration freeze_threshold{std::chrono::milliseconds{1500}};
    static constexpr state::duration isolation_timeout{std::chrono::seconds{3}};

    time::gap_detector gap_{freeze_threshold};
    state::time_point stale_since_;
    bool has_started_{false};
    bool is_fresh_{false};
};

} // namespace buckthorndale::coordination::configuration

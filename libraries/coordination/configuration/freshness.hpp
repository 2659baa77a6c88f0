#pragma once

#include "coordination/time/gap_detector.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::configuration {

/// Whether the agent may vouch for its configuration: since its start, and since it was last frozen,
/// it heard from the platform or from a peer, or could reach neither for a while.
class freshness {
public:
    /// Records a look at the clock.
    auto observe(state::time_point now) -> void
    {
        if (!gap_.observe(now) && has_started_)
            return;
        has_started_ = true;
        is_fresh_ = false;
        stale_since_ = now;
    }

    /// Records that the platform or a peer told all it knows, in answer to a question asked at that time.
    /// An answer that was under way while the process was frozen is as old as its question.
    auto mark_synchronised(state::time_point asked_at) -> void
    {
        is_fresh_ = is_fresh_ || asked_at >= stale_since_;
    }

    /// Whether to vouch; a node that is cut off goes on with what it has.
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

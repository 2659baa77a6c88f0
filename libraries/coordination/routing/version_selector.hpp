#pragma once

#include "coordination/cascade/cascade_planner.hpp"
#include "coordination/cascade/pass_rates.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "coordination/routing/request_entry.hpp"
#include "coordination/routing/version_statistics.hpp"
#include "state/configuration.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::coordination::routing {

/// The version chosen for the next attempt.
struct version_choice {
    state::version_key version_;
    /// Whether the answer is held and rated, so that a better version can follow.
    bool may_escalate_{false};
    std::size_t candidates_{0};
    std::string reason_;
};

/// What the choice of a version looks at besides the request.
struct selection_context {
    const state::configuration& configuration_;
    const roll_out::version_guard& guard_;
    const cascade::pass_rates& rates_;
    const version_statistics& statistics_;
    state::time_point now_;
    /// False only in the test that shows that pins matter.
    bool applies_pins_{true};
};

/// Chooses the version for a request's next attempt, or nothing when the profile allows none.
/// Order: the version of a stream that must be resumed; the session's pin; the cascade over the
/// serving versions, each model's roll-out applied.
auto select_version(const request_entry& request, const selection_context& context)
    -> std::optional<version_choice>;

/// The versions that new sessions of the request's kind may begin on, cheapest first.
auto open_versions(const request_entry& request, const selection_context& context)
    -> std::vector<state::version_key>;

/// Whether a roll-out sends the session, or the request without one, to the new version.
auto is_in_share(const request_entry& request, const state::roll_out& roll_out) -> bool;

} // namespace buckthorndale::coordination::routing

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
    /// Whether the answer is held and rated, so that the request can escalate to a better version.
    bool may_escalate_{false};
    std::size_t candidates_{0};
    std::string reason_;
};

/// The inputs to the choice of a version, apart from the request.
struct selection_context {
    const state::configuration& configuration_;
    const roll_out::version_guard& guard_;
    const cascade::pass_rates& rates_;
    const version_statistics& statistics_;
    state::time_point now_;
    /// False only in the test that shows that pins are needed.
    bool applies_pins_{true};
};

/// Chooses the version for a request's next attempt; nothing if the profile allows none.
/// In order of precedence: the version of an interrupted stream; the session's pin; the cascade over the
/// serving versions, with each model's roll-out applied.
auto select_version(const request_entry& request, const selection_context& context)
    -> std::optional<version_choice>;

/// The versions that a new session with this request may start on, cheapest first.
auto open_versions(const request_entry& request, const selection_context& context)
    -> std::vector<state::version_key>;

/// Whether a roll-out assigns the session, or a request without a session, to the new version.
auto is_in_share(const request_entry& request, const state::roll_out& roll_out) -> bool;

} // namespace buckthorndale::coordination::routing

#pragma once

#include "coordination/placement/placement_query.hpp"
#include "coordination/routing/attempt_command.hpp"
#include "coordination/routing/attempt_result.hpp"
#include "state/bill_record.hpp"
#include "state/configuration.hpp"
#include "state/request_description.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::coordination::routing {

enum class request_stage : std::uint8_t {
    /// Waits for a place at an endpoint.
    queued,
    /// Waits for the claim of a non-idempotent call.
    claiming,
    /// An attempt runs.
    running,
    /// The held answer is being rated.
    rating,
    /// Waits until the crash it was in is known to the other routers.
    announcing,
    /// The answer is whole; its bill record is being spread.
    recording,
};

/// The attempt that runs now, or whose whole answer is held.
struct running_attempt {
    state::attempt_handle handle_;
    state::endpoint_id endpoint_;
    state::version_key version_;
    release_mode release_{release_mode::stream};
    bool may_escalate_{false};
    /// Whether its outcome counts as evidence on its version.
    bool is_sampled_{false};
    bool was_suspect_{false};
    state::time_point started_;
    /// Whether the endpoint still holds it.
    bool is_open_{true};
};

/// A held whole answer that is given out when no better one can be had.
struct fallback_answer {
    running_attempt attempt_;
    state::token_count tokens_;
};

/// One request inside a router.
struct request_entry {
    state::request_handle handle_;
    state::request_description description_;
    state::time_point arrived_;
    state::time_point deadline_;
    request_stage stage_{request_stage::queued};
    state::time_point stage_since_;
    /// Since when no endpoint has taken it, however often it was offered.
    state::time_point waiting_since_;
    std::optional<running_attempt> attempt_;
    /// The attempt by which the request book finds this entry.
    std::optional<state::attempt_handle> indexed_attempt_;
    std::optional<fallback_answer> fallback_;
    int attempts_{0};
    /// Attempts that may have run.
    int runs_{0};
    /// Whether an attempt may have run at an endpoint.
    bool may_have_run_{false};
    /// Whether the caller was given any piece.
    bool is_released_{false};
    /// Where a broken stream goes on, and on which version.
    std::uint64_t resume_offset_{0};
    std::optional<state::version_key> resume_version_;
    std::set<state::endpoint_id> excluded_;
    /// Versions whose answer was rated too low.
    std::set<state::version_key> versions_below_target_;
    std::optional<std::uint64_t> claim_nonce_;
    std::vector<state::bill_part> parts_;
    state::token_count answer_tokens_;
    bool is_billed_{false};
    /// How the attempt ended that the request cannot go on from yet.
    std::optional<attempt_result> last_result_;
    state::time_point crashed_at_;
    /// The configuration as of arrival; only the test of the check at dispatch looks at it.
    std::shared_ptr<const state::configuration> configuration_at_arrival_;
};

} // namespace buckthorndale::coordination::routing

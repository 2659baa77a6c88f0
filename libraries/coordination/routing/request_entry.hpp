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
    /// Waits for free capacity at an endpoint.
    queued,
    /// Waits for the claim of a non-idempotent call.
    claiming,
    /// An attempt is running.
    running,
    /// The held answer is being rated.
    rating,
    /// Waits until the other routers know of the crash that the request was involved in.
    announcing,
    /// The answer is complete; its bill record is being replicated.
    recording,
};

/// The current attempt, or the finished one whose complete answer is held.
struct running_attempt {
    state::attempt_handle handle_;
    state::endpoint_id endpoint_;
    state::version_key version_;
    release_mode release_{release_mode::stream};
    bool may_escalate_{false};
    /// Whether the result counts as evidence on the version.
    bool is_sampled_{false};
    bool was_suspect_{false};
    state::time_point started_;
    /// Whether the attempt is still running at the endpoint.
    bool is_open_{true};
};

/// A complete answer that is held, to be sent if escalation yields no better one.
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
    /// Since when the request has been waiting for an endpoint to run it. Attempts that were not run do
    /// not reset this.
    state::time_point waiting_since_;
    std::optional<running_attempt> attempt_;
    /// The attempt under which the request table indexes this entry.
    std::optional<state::attempt_handle> indexed_attempt_;
    std::optional<fallback_answer> fallback_;
    int attempts_{0};
    /// Attempts that may have run.
    int runs_{0};
    /// Whether an attempt may have run at an endpoint.
    bool may_have_run_{false};
    /// Whether any chunk was sent to the caller.
    bool is_released_{false};
    /// Chunk offset and version at which an interrupted stream resumes.
    std::uint64_t resume_offset_{0};
    std::optional<state::version_key> resume_version_;
    std::set<state::endpoint_id> excluded_;
    /// Versions whose answer was rated below the target.
    std::set<state::version_key> versions_below_target_;
    std::optional<std::uint64_t> claim_nonce_;
    std::vector<state::bill_part> parts_;
    state::token_count answer_tokens_;
    bool is_billed_{false};
    /// The result of a crashed attempt, handled once the crash has been announced.
    std::optional<attempt_result> last_result_;
    state::time_point crashed_at_;
    /// The configuration at arrival; used only by the test that disables the check at dispatch.
    std::shared_ptr<const state::configuration> configuration_at_arrival_;
};

} // namespace buckthorndale::coordination::routing

#pragma once

#include "state/units.hpp"

#include <cstddef>

namespace buckthorndale::coordination::routing {

/// Lets tests disable single safeguards to show that each is needed. Services leave all of them enabled.
struct safeguards {
    bool checks_allowed_at_dispatch_{true};
    bool claims_before_dispatch_{true};
    bool records_bill_before_end_{true};
    bool resumes_at_offset_{true};
    bool distinguishes_unknown_from_not_run_{true};
    bool refreshes_after_freeze_{true};
    bool pins_sessions_{true};
    bool avoids_leaving_endpoints_{true};
    bool refuses_crashing_requests_{true};
};

/// Limits of one router's request engine.
struct engine_settings {
    std::size_t max_requests_{2000};
    std::size_t max_queue_length_{500};
    /// Maximum attempts of one request that may have run.
    int max_runs_{4};
    /// A request that waits longer than this in the queue is refused.
    state::duration queue_timeout_{std::chrono::seconds{5}};
    state::duration first_chunk_timeout_{std::chrono::seconds{10}};
    state::duration chunk_timeout_{std::chrono::seconds{2}};
    state::duration rating_timeout_{std::chrono::seconds{1}};
    /// Share of answers that are rated as evidence on their version. Answers of the new version in a
    /// roll-out and of a suspicious version are all rated.
    double sample_rate_{0.2};
    /// How long a retry waits for the other routers to learn of a crash before it is announced again.
    state::duration announcement_timeout_{std::chrono::milliseconds{300}};
    state::duration claim_timeout_{std::chrono::seconds{3}};
    /// How long the configuration stays valid without confirmation by the agent.
    state::duration configuration_lease_{std::chrono::seconds{10}};
    /// A longer gap between two readings of the local clock means that the process was frozen.
    state::duration freeze_threshold_{std::chrono::milliseconds{1500}};
    safeguards safeguards_;
};

} // namespace buckthorndale::coordination::routing

#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "coordination/routing/attempt_result.hpp"
#include "state/configuration.hpp"
#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/request_description.hpp"
#include "state/units.hpp"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace buckthorndale::services::router {

// Events that the network and control workers send to the decision worker.

struct request_arrived {
    state::request_handle handle_;
    state::request_description description_;
};

struct first_chunk_released {
    state::attempt_handle attempt_;
};

struct attempt_rated {
    state::request_handle request_;
    state::attempt_handle attempt_;
    std::optional<state::permille> rating_;
};

struct caller_disconnected {
    state::request_handle request_;
};

using network_event = std::variant<request_arrived, first_chunk_released,
                                   coordination::routing::attempt_result, attempt_rated, caller_disconnected>;

struct configuration_confirmed {
    std::shared_ptr<const state::configuration> configuration_;
    /// When the agent was asked to confirm it.
    state::time_point asked_at_;
};

struct endpoints_updated {
    std::vector<state::endpoint> endpoints_;
};

struct claim_answered {
    state::request_handle request_;
    coordination::claims::claim_verdict verdict_;
};

struct bill_replicated {
    state::request_handle request_;
};

struct suspects_acknowledged {
    state::content_fingerprint content_;
    bool is_running_elsewhere_{false};
};

struct suspects_received {
    state::endpoint_id endpoint_;
    std::vector<state::content_fingerprint> contents_;
    bool is_cleared_{false};
};

struct evidence_received {
    coordination::roll_out::evidence_report sums_;
};

struct shutdown_requested {};

using control_event =
    std::variant<configuration_confirmed, endpoints_updated, claim_answered, bill_replicated,
                 suspects_acknowledged, suspects_received, evidence_received, shutdown_requested>;

} // namespace buckthorndale::services::router

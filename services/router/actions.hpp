#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "coordination/routing/answer_summary.hpp"
#include "coordination/routing/attempt_command.hpp"
#include "coordination/routing/refusal.hpp"
#include "protocol/rpc/messages.hpp"
#include "state/bill_record.hpp"
#include "state/claim_key.hpp"
#include "state/identifiers.hpp"

#include <memory>
#include <variant>
#include <vector>

namespace buckthorndale::services::router {

// Actions that the decision worker sends to the network worker.

struct cancel_attempt {
    state::attempt_handle attempt_;
};

struct rate_answer {
    state::request_handle request_;
    state::attempt_handle attempt_;
};

struct release_answer {
    state::request_handle request_;
    state::attempt_handle attempt_;
};

struct finish_answer {
    state::request_handle request_;
    coordination::routing::answer_summary summary_;
};

struct replay_outcome {
    state::request_handle request_;
};

struct refuse_request {
    state::request_handle request_;
    coordination::routing::refusal refusal_;
};

/// The network worker adds the attempt's answer and has it sent to the agent as the outcome of the claim.
struct store_outcome {
    state::claim_key key_;
    std::uint64_t nonce_{0};
    state::request_handle request_;
    state::attempt_handle attempt_;
};

using network_action =
    std::variant<coordination::routing::attempt_command, cancel_attempt, rate_answer, release_answer,
                 finish_answer, replay_outcome, refuse_request, store_outcome>;

// Actions that the decision and network workers send to the control worker.

struct claim_call {
    state::request_handle request_;
    state::claim_key key_;
    state::content_fingerprint content_;
};

struct replicate_bill {
    state::request_handle request_;
    state::bill_record record_;
};

struct refresh_requested {};

struct announce_crash {
    state::endpoint_id endpoint_;
    std::vector<state::content_fingerprint> contents_;
};

struct announce_clear {
    state::content_fingerprint content_;
};

struct evidence_counted {
    std::vector<coordination::roll_out::version_counts> counts_;
};

using control_action = std::variant<claim_call, protocol::rpc::claim_ended_request, replicate_bill,
                                    refresh_requested, announce_crash, announce_clear, evidence_counted>;

// Notices that the control worker sends to the network worker.

struct configuration_published {
    std::shared_ptr<const state::configuration> configuration_;
};

struct outcome_found {
    state::request_handle request_;
    coordination::claims::call_outcome outcome_;
};

using network_notice = std::variant<configuration_published, outcome_found>;

} // namespace buckthorndale::services::router

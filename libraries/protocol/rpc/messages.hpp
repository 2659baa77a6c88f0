#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "coordination/roll_out/evidence_report.hpp"
#include "state/bill_record.hpp"
#include "state/claim_key.hpp"
#include "state/configuration.hpp"
#include "state/configuration_change.hpp"
#include "state/instance_list.hpp"
#include "state/network_address.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// The messages between the system's own processes. Each struct holds the parameters or the result of one
/// JSON-RPC method.
namespace buckthorndale::protocol::rpc {

/// The versions of the replicated state (configuration and instance list) that a node has.
struct state_digest {
    state::generation generation_;
    std::uint64_t chain_{0};
    std::uint64_t list_version_{0};
};

/// The replicated state that another node is missing.
struct updates {
    /// Set if the other node is too far behind to receive the changes one by one.
    std::optional<state::configuration> snapshot_;
    std::vector<state::configuration_change> changes_;
    std::optional<state::instance_list> list_;
};

/// Sent by a router to its agent, twice a second and whenever the agent wakes it.
struct hello_request {
    state::incarnation router_incarnation_;
    state::network_address router_;
    state_digest digest_;
    /// The answer counts of this router.
    coordination::roll_out::evidence_report evidence_;
};

struct hello_response {
    state::instance_id agent_;
    state::incarnation agent_incarnation_;
    /// Whether the agent confirms that its configuration is the latest one it can know of.
    bool is_confirmed_{false};
    updates updates_;
    /// The answer counts of all routers.
    coordination::roll_out::evidence_report evidence_;
};

/// One round of gossip between agents.
struct gossip_request {
    state::instance_id from_;
    state::incarnation incarnation_;
    state_digest digest_;
};

struct gossip_response {
    state_digest digest_;
    /// Whether the agent confirms the freshness of its configuration.
    bool is_confirmed_{false};
    updates updates_;
};

/// Sent by an agent to its parent in the evidence aggregation tree. The result holds the parent's sums.
struct add_evidence_request {
    std::vector<coordination::roll_out::version_counts> increments_;
};

/// Sent by a router to an agent, which holds the bill record.
struct hold_bill_request {
    state::bill_record record_;
    /// Whether this agent is the one that writes the record to the platform.
    bool is_primary_{false};
};

/// Sent by a router to its agent to claim a call. The verdict arrives in a claim_settled_request.
struct claim_request {
    state::incarnation router_incarnation_;
    std::uint64_t ticket_{0};
    state::claim_key key_;
    state::content_fingerprint content_;
};

/// Sent by an agent to the router that requested the claim.
struct claim_settled_request {
    state::incarnation router_incarnation_;
    std::uint64_t ticket_{0};
    coordination::claims::claim_verdict verdict_;
};

enum class claim_end : std::uint8_t { finished, abandoned, lost };

/// Sent by a router to its agent when a granted claim has ended.
struct claim_ended_request {
    state::claim_key key_;
    std::uint64_t nonce_{0};
    claim_end end_{claim_end::lost};
    coordination::claims::call_outcome outcome_;
};

/// Sent by an agent to the agent that made a claim, to query its state.
struct claim_state_request {
    state::claim_key key_;
    state::incarnation incarnation_;
    std::uint64_t nonce_{0};
};

/// Sent by a router to the other routers: these request contents were in flight when the endpoint crashed.
struct suspects_request {
    state::endpoint_id endpoint_;
    std::vector<state::content_fingerprint> contents_;
    /// Set if the contents have been answered completely instead; the endpoint is empty then.
    bool is_cleared_{false};
};

} // namespace buckthorndale::protocol::rpc

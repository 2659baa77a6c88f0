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

/// The messages between the system's own processes. Each struct is the parameter or the result of one
/// JSON-RPC method.
namespace buckthorndale::protocol::rpc {

/// What a node has of the things that spread: configuration and instance list.
struct state_digest {
    state::generation generation_;
    std::uint64_t chain_{0};
    std::uint64_t list_version_{0};
};

/// What another node lacks.
struct updates {
    /// Set when the changes reach back too far to be sent one by one.
    std::optional<state::configuration> snapshot_;
    std::vector<state::configuration_change> changes_;
    std::optional<state::instance_list> list_;
};

/// A router to its agent, twice a second and whenever it is poked.
struct hello_request {
    state::incarnation router_incarnation_;
    state::network_address router_;
    state_digest digest_;
    /// The answers of this router.
    coordination::roll_out::evidence_report evidence_;
};

struct hello_response {
    state::instance_id agent_;
    state::incarnation agent_incarnation_;
    /// Whether the agent vouches that the configuration is the newest it can know of.
    bool is_confirmed_{false};
    updates updates_;
    /// The answers of all routers.
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
    /// Whether the agent vouches for its configuration.
    bool is_confirmed_{false};
    updates updates_;
};

/// An agent to its parent in the tree that adds up evidence. Answered by the parent's sums.
struct add_evidence_request {
    std::vector<coordination::roll_out::version_counts> increments_;
};

/// A router to an agent: hold this bill record.
struct hold_bill_request {
    state::bill_record record_;
    /// Whether the agent is the one that writes it to the platform.
    bool is_primary_{false};
};

/// A router to its agent: claim this call. The verdict comes by claim_settled_request.
struct claim_request {
    state::incarnation router_incarnation_;
    std::uint64_t ticket_{0};
    state::claim_key key_;
    state::content_fingerprint content_;
};

/// An agent to its router.
struct claim_settled_request {
    state::incarnation router_incarnation_;
    std::uint64_t ticket_{0};
    coordination::claims::claim_verdict verdict_;
};

enum class claim_end : std::uint8_t { finished, abandoned, lost };

/// A router to its agent: how a granted claim ended.
struct claim_ended_request {
    state::claim_key key_;
    std::uint64_t nonce_{0};
    claim_end end_{claim_end::lost};
    coordination::claims::call_outcome outcome_;
};

/// An agent to the agent that made a claim.
struct claim_state_request {
    state::claim_key key_;
    state::incarnation incarnation_;
    std::uint64_t nonce_{0};
};

/// A router to the other routers: these contents were in flight when the endpoint crashed.
struct suspects_request {
    state::endpoint_id endpoint_;
    std::vector<state::content_fingerprint> contents_;
    /// Set when the contents were answered whole instead; the endpoint is empty then.
    bool is_cleared_{false};
};

} // namespace buckthorndale::protocol::rpc

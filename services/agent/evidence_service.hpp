#pragma once

#include "agent/agent_state.hpp"
#include "coordination/roll_out/evidence_tree.hpp"
#include "protocol/rpc/messages.hpp"
#include "state/member.hpp"

#include <cstdint>

namespace buckthorndale::services::agent {

/// Aggregates the evidence on versions with the other agents.
class evidence_service {
public:
    using report = coordination::roll_out::evidence_report;

    explicit evidence_service(agent_state& shared)
        : shared_{shared}, tree_{shared.settings_.instance_, shared.incarnation_}
    {}

    /// Starts the loop that sends increments to the nearest reachable ancestor or, at the root of a data
    /// centre, exchanges sums with the other roots.
    auto start() -> void;

    /// Adds the counts of the router here. Returns the current sums.
    auto add_router_counts(const report& counts) -> report;

    /// Adds the increments of a child. Returns the current sums.
    auto answer_child(const protocol::rpc::add_evidence_request& request) -> report;

    /// Stores the sums of another data centre's root. Returns the sums of this data centre.
    auto answer_root(const report& sums) -> report;

private:
    auto run() -> transport::http::awaitable<void>;
    auto send_to_parent(std::vector<state::member> ancestors) -> transport::http::awaitable<void>;
    auto exchange_with_roots(std::vector<state::member> roots) -> transport::http::awaitable<void>;
    auto exchange_with_root(state::member root) -> transport::http::awaitable<void>;
    auto update_version_guard() -> void;

    agent_state& shared_;
    coordination::roll_out::evidence_tree tree_;
    std::uint64_t rounds_{0};
};

} // namespace buckthorndale::services::agent

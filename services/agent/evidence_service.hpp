#pragma once

#include "agent/agent_state.hpp"
#include "coordination/roll_out/evidence_tree.hpp"
#include "protocol/rpc/messages.hpp"
#include "state/member.hpp"

#include <cstdint>

namespace buckthorndale::services::agent {

/// Adds the evidence on versions up with the other agents.
class evidence_service {
public:
    using report = coordination::roll_out::evidence_report;

    explicit evidence_service(agent_state& shared)
        : shared_{shared}, tree_{shared.settings_.instance_, shared.incarnation_}
    {}

    /// Starts sending increments up and, at the root of a data centre, asking the other roots.
    auto start() -> void;

    /// Takes the counts of the router here in. Returns the sums for it.
    auto hear_router(const report& counts) -> report;

    /// Answers a child that sends increments up.
    auto answer_child(const protocol::rpc::add_evidence_request& request) -> report;

    /// Answers the root of another data centre.
    auto answer_root(const report& sums) -> report;

private:
    auto run() -> transport::http::awaitable<void>;
    auto send_up(std::vector<state::member> ancestors) -> transport::http::awaitable<void>;
    auto ask_roots(std::vector<state::member> roots) -> transport::http::awaitable<void>;
    auto ask_root(state::member root) -> transport::http::awaitable<void>;
    auto tell_guard() -> void;

    agent_state& shared_;
    coordination::roll_out::evidence_tree tree_;
    std::uint64_t rounds_{0};
};

} // namespace buckthorndale::services::agent

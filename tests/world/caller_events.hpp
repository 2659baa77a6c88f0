#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "coordination/routing/answer_summary.hpp"
#include "coordination/routing/refusal.hpp"
#include "state/request_description.hpp"
#include "state/version_key.hpp"
#include "world/fake_endpoint.hpp"

#include <cstdint>
#include <string>

namespace buckthorndale::tests::world {

/// One submission of a request to a router.
struct submission {
    submission_id id_;
    state::request_description description_;
    bool is_poison_{false};
};

/// Receives the answers of routers.
class caller_events {
public:
    caller_events() = default;
    virtual ~caller_events() = default;

    caller_events(const caller_events&) = delete;
    auto operator=(const caller_events&) -> caller_events& = delete;

    virtual auto on_chunk(submission_id submission, const state::version_key& version, std::uint64_t offset)
        -> void = 0;
    virtual auto on_finish(submission_id submission, const coordination::routing::answer_summary& summary,
                           const std::string& outcome) -> void = 0;
    virtual auto on_refusal(submission_id submission, const coordination::routing::refusal& why) -> void = 0;
    /// The connection to the router was lost.
    virtual auto on_disconnect(submission_id submission) -> void = 0;
};

} // namespace buckthorndale::tests::world

#pragma once

#include "world/caller_events.hpp"
#include "world/simulation_context.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// A submission and its result, for the checks at the end of a run.
struct submission_record {
    submission_id id_;
    std::uint64_t request_{0};
    bool was_told_not_run_{false};
};

/// A request as seen by its caller, across all of its submissions.
struct caller_record {
    state::request_description description_;
    bool is_poison_{false};
    int submissions_left_{0};
    bool is_done_{false};
    int complete_answers_{0};
    std::string outcome_;
};

/// Simulated callers: they send requests, verify the answers, and resend after refusals and disconnects.
class caller_population : public caller_events {
public:
    /// Sends a submission to a random router; returns false when none accepts requests.
    using send_function = std::function<bool(const submission&)>;

    caller_population(simulation_context& context, send_function send)
        : context_{context}, send_{std::move(send)}
    {}

    /// Starts a new request of a random kind.
    auto begin_request() -> void;

    /// Starts a request that crashes every endpoint that runs it.
    auto begin_poison_request() -> void;

    auto on_chunk(submission_id id, const state::version_key& version, std::uint64_t offset) -> void override;
    auto on_finish(submission_id id, const coordination::routing::answer_summary& summary,
                   const std::string& outcome) -> void override;
    auto on_refusal(submission_id id, const coordination::routing::refusal& why) -> void override;
    auto on_disconnect(submission_id id) -> void override;

    auto submissions() const -> const std::vector<submission_record>& { return submissions_; }

    auto requests() const -> const std::vector<caller_record>& { return requests_; }

private:
    struct open_submission {
        std::uint64_t request_{0};
        std::uint64_t chunks_{0};
        std::optional<state::version_key> version_;
        /// The session pin sent with this submission.
        std::optional<state::session_pin> pin_;
    };

    auto submit(std::uint64_t index) -> void;
    auto resend_later(std::uint64_t request, state::duration delay) -> void;
    auto check_session(const caller_record& request, const std::optional<state::session_pin>& carried,
                       const state::version_key& version) -> void;
    auto schedule_timeout(submission_id id) -> void;

    simulation_context& context_;
    send_function send_;
    std::vector<caller_record> requests_;
    std::vector<submission_record> submissions_;
    std::map<submission_id, open_submission> open_;
    /// The session pin returned with each session's last answer.
    std::map<state::session_id, state::session_pin> pins_;
    std::uint64_t last_request_{0};
};

} // namespace buckthorndale::tests::world

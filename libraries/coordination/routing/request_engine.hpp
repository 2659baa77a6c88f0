#pragma once

#include "coordination/admission/fair_queue.hpp"
#include "coordination/cascade/pass_rates.hpp"
#include "coordination/claims/claim_verdict.hpp"
#include "coordination/placement/endpoint_table.hpp"
#include "coordination/retry/retry_budget.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "coordination/routing/attempt_result.hpp"
#include "coordination/routing/engine_settings.hpp"
#include "coordination/routing/freshness_guard.hpp"
#include "coordination/routing/pool_key.hpp"
#include "coordination/routing/request_table.hpp"
#include "coordination/routing/router_port.hpp"
#include "coordination/routing/sample_table.hpp"
#include "coordination/routing/version_selector.hpp"
#include "coordination/suspicion/crash_suspects.hpp"
#include "coordination/time/clock_source.hpp"
#include "coordination/time/random_source.hpp"
#include "state/configuration.hpp"
#include "state/invariant.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::coordination::routing {

/// Identifies a router process in the records that it creates.
struct engine_identity {
    state::instance_id instance_;
    state::incarnation life_;
};

/// Makes all decisions on the requests of a router: admission, version, endpoint, retry, resume,
/// escalation, claim, bill and final answer. It performs no I/O: events enter through its member
/// functions, and actions leave through the port. All member functions must be called from one thread.
template <time::clock_source Clock, time::random_source Random, router_port Port>
class request_engine {
public:
    request_engine(const Clock& clock, Random& random, Port& port, engine_identity identity,
                   engine_settings settings)
        : clock_{clock}, random_{random}, port_{port}, identity_{std::move(identity)}, settings_{settings},
          freshness_{settings.configuration_lease_, settings.freeze_threshold_}
    {}

    /// Adds a request under a handle that was never used in this process.
    /// It is answered by exactly one call to the port's finish, replay or refuse.
    auto arrive(state::request_handle handle, state::request_description description) -> void;

    /// Applies a configuration that the agent confirmed in reply to a query sent at `asked_at`.
    auto configure(std::shared_ptr<const state::configuration> configuration, state::time_point asked_at)
        -> void;

    /// Applies the endpoints of the instance list.
    auto update_endpoints(const std::vector<state::endpoint>& endpoints) -> void;

    /// Reports that the first chunk of an attempt was sent to the caller.
    auto first_chunk_released(state::attempt_handle attempt) -> void;

    /// Reports the result of an attempt.
    auto attempt_ended(const attempt_result& result) -> void;

    /// Replies to the port's claim.
    auto claim_settled(state::request_handle request, const claims::claim_verdict& verdict) -> void;

    /// Replies to the port's rate; without a value if no rating could be obtained.
    auto rating_received(state::request_handle request, state::attempt_handle attempt,
                         std::optional<state::permille> rating) -> void;

    /// Replies to the port's record_bill.
    auto bill_recorded(state::request_handle request) -> void;

    /// Replies to the port's announce_suspects. While another router runs a request with the same content,
    /// no further attempt is made here: that request shows whether the content causes the crash.
    auto suspects_announced(state::content_fingerprint content, bool is_running_elsewhere) -> void;

    /// The contents of the running attempts and of requests whose crash is being announced.
    auto running_contents() const -> std::set<state::content_fingerprint>;

    /// Records a crash that another router reported.
    auto learn_suspects(const state::endpoint_id& endpoint,
                        const std::vector<state::content_fingerprint>& contents) -> void;

    /// Records another router's report that a suspect content was answered completely.
    auto learn_cleared(state::content_fingerprint content) -> void;

    /// Reports that the caller disconnected.
    auto caller_left(state::request_handle request) -> void;

    /// Handles deadlines, timeouts and queued requests. To be called about every 10 ms.
    auto tick() -> void;

    /// Refuses new requests from now on; requests already accepted continue.
    auto begin_shutdown() -> void { is_shutting_down_ = true; }

    /// Whether requests can be served: a configuration is known and confirmed, and no shutdown has begun.
    auto is_ready() const -> bool
    {
        return !is_shutting_down_ && configuration_->generation_ > state::generation{} &&
               freshness_.is_confirmed();
    }

    auto size() const -> std::size_t { return requests_.size(); }

    auto configuration() const -> const state::configuration& { return *configuration_; }

    auto endpoints() -> placement::endpoint_table& { return endpoints_; }

    auto guard() -> roll_out::version_guard& { return guard_; }

    auto suspects() const -> const suspicion::crash_suspects& { return suspects_; }

private:
    enum class start_result : std::uint8_t { started, blocked, ended };

    auto observe_clock() -> state::time_point;
    auto refusal_at_arrival(const state::request_description& description) const -> std::optional<refusal>;
    auto deadline_of(const state::request_description& description, state::time_point now) const
        -> state::time_point;
    auto enqueue(request_entry& entry) -> void;
    auto dispatch_queued() -> void;
    auto dispatch_queued(const pool_key& pool) -> void;
    auto dispatch_queued(admission::fair_queue& queue) -> void;
    auto try_start(request_entry& entry) -> start_result;
    auto choose_version(request_entry& entry) -> std::optional<version_choice>;
    auto query_for(const request_entry& entry, const state::version_key& version) const
        -> placement::placement_query;
    auto dispatch(request_entry& entry, const version_choice& choice, const placement::placement_query& query,
                  const state::endpoint_id& endpoint) -> void;
    auto verify_dispatch(const request_entry& entry, const state::version_key& version) const -> void;
    auto close_attempt(request_entry& entry, const attempt_result& result) -> void;
    auto update_endpoint_health(const running_attempt& attempt, const attempt_result& result) -> void;
    auto handle_complete_answer(request_entry& entry, const attempt_result& result) -> void;
    auto handle_failed_attempt(request_entry& entry, const attempt_result& result) -> void;
    auto handle_crash(request_entry& entry, const attempt_result& result) -> void;
    auto retry_or_refuse(request_entry& entry, const attempt_result& result) -> void;
    auto can_retry(const request_entry& entry, const attempt_result& result) -> bool;
    auto prepare_resume(request_entry& entry, const attempt_result& result) -> void;
    auto choose_endpoint(const request_entry& entry, placement::placement_query& query)
        -> std::optional<state::endpoint_id>;
    auto evaluate_rating(request_entry& entry, std::optional<state::permille> rating) -> bool;
    auto is_sampled(const request_entry& entry, const state::version_key& version) -> bool;
    auto sample_answer(const request_entry& entry) -> void;
    auto evaluate_sample(const quality_sample& sample, std::optional<state::permille> rating) -> void;
    static auto rate_key_of(const request_entry& entry) -> cascade::pass_rate_key;
    auto is_stale() const -> bool;

    /// Whether another request with the same content is running or has its crash being announced.
    auto has_active_copy(const request_entry& entry) const -> bool;

    static auto has_usable_fallback(const request_entry& entry) -> bool
    {
        return entry.fallback_ && !entry.is_released_;
    }

    auto retry_after() -> state::duration;
    auto settle_with_attempt(request_entry& entry) -> void;
    auto settle_with_fallback(request_entry& entry) -> void;
    auto make_bill(const request_entry& entry) -> state::bill_record;
    auto add_part(request_entry& entry, const state::version_key& version, state::token_count tokens) -> void;
    auto summarise(const request_entry& entry) const -> answer_summary;
    auto refuse(request_entry& entry, state::error_kind kind, state::duration retry_after, std::string detail)
        -> void;
    auto cancel_open_attempt(request_entry& entry) -> void;
    auto end_claim(const request_entry& entry) -> void;
    auto expire(request_entry& entry) -> void;
    auto check_stage_timeout(request_entry& entry, state::time_point now) -> void;
    auto enter_stage(request_entry& entry, request_stage stage) -> void;
    auto record_quality(const state::version_key& version, const state::profile_name& profile, bool is_good)
        -> void;
    auto log_halt(const state::version_key& version, std::string reason) -> void;
    auto target_of(const request_entry& entry) const -> state::permille;
    auto log(const request_entry& entry, std::string action, std::string choice, std::size_t candidates,
             std::string reason) -> void;

    /// A rating that has not arrived by then is no longer expected.
    static constexpr state::duration sample_timeout{std::chrono::seconds{10}};

    const Clock& clock_;
    Random& random_;
    Port& port_;
    engine_identity identity_;
    engine_settings settings_;
    freshness_guard freshness_;
    roll_out::version_guard guard_;
    std::shared_ptr<const state::configuration> configuration_{std::make_shared<state::configuration>()};
    placement::endpoint_table endpoints_;
    request_table requests_;
    std::map<pool_key, admission::fair_queue> queues_;
    std::map<pool_key, retry::retry_budget> budgets_;
    cascade::pass_rates rates_;
    sample_table samples_;
    version_statistics statistics_;
    suspicion::crash_suspects suspects_;
    std::uint64_t last_bill_{0};
    bool is_shutting_down_{false};
};

} // namespace buckthorndale::coordination::routing

#include "coordination/routing/request_engine_admission.hpp"
#include "coordination/routing/request_engine_attempts.hpp"
#include "coordination/routing/request_engine_evidence.hpp"
#include "coordination/routing/request_engine_settlement.hpp"

#pragma once

// Ratings, claims, bills, timeouts and final answers; part of request_engine.hpp.

#include "coordination/routing/request_engine.hpp"

#include <utility>

namespace buckthorndale::coordination::routing {

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::handle_complete_answer(request_entry& entry,
                                                                 const attempt_result& result) -> void
{
    const auto& attempt = *entry.attempt_;
    entry.answer_tokens_ = result.tokens_;
    add_part(entry, attempt.version_, result.tokens_);
    statistics_.record(attempt.version_, result.tokens_, clock_.now() - attempt.started_);
    if (suspects_.is_suspect(entry.description_.content_)) {
        suspects_.clear(entry.description_.content_);
        port_.announce_cleared(entry.description_.content_);
    }
    if (attempt.may_escalate_) {
        enter_stage(entry, request_stage::rating);
        port_.rate(entry.handle_, attempt.handle_);
        return;
    }
    sample_answer(entry);
    settle_with_attempt(entry);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::rating_received(state::request_handle request,
                                                          state::attempt_handle attempt,
                                                          std::optional<state::permille> rating) -> void
{
    observe_clock();
    if (const auto sample = samples_.take(attempt)) {
        evaluate_sample(*sample, rating);
        return;
    }
    auto* entry = requests_.find(request);
    const auto is_awaited =
        entry != nullptr && entry->stage_ == request_stage::rating && entry->attempt_->handle_ == attempt;
    if (!is_awaited)
        return;
    const auto version = entry->attempt_->version_;
    if (evaluate_rating(*entry, rating)) {
        log(*entry, "accept", version.text(), 1,
            rating ? "rating reached the target" : "no rating, likely good");
        settle_with_attempt(*entry);
        return;
    }
    log(*entry, "escalate", version.text(), 1, rating ? "rating below the target" : "no rating, likely bad");
    entry->versions_below_target_.insert(version);
    entry->fallback_ = fallback_answer{.attempt_ = *entry->attempt_, .tokens_ = entry->answer_tokens_};
    entry->excluded_.clear();
    const auto pool = pool_of(entry->description_);
    entry->waiting_since_ = clock_.now();
    enqueue(*entry);
    dispatch_queued(pool);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::evaluate_rating(request_entry& entry,
                                                          std::optional<state::permille> rating) -> bool
{
    constexpr auto min_pass_rate = 0.5;
    const auto& version = entry.attempt_->version_;
    const auto key = rate_key_of(entry);
    if (!rating) {
        const auto* settings = configuration_->find_version(version);
        const auto prior = settings != nullptr ? settings->expected_quality_ : state::permille{};
        return rates_.estimate(key, prior) >= min_pass_rate;
    }
    const auto has_passed = *rating >= target_of(entry);
    rates_.record(key, has_passed);
    if (entry.attempt_->is_sampled_)
        record_quality(version, entry.description_.profile_, has_passed);
    return has_passed;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::settle_with_attempt(request_entry& entry) -> void
{
    const auto& attempt = *entry.attempt_;
    verify(!attempt.is_open_, state::guarantee::whole_answer,
           "only a finished attempt can provide the answer");
    verify(!entry.is_billed_, state::guarantee::billed_once, "a request must be billed once");
    entry.is_billed_ = true;
    enter_stage(entry, request_stage::recording);
    if (attempt.release_ == release_mode::hold)
        port_.release(entry.handle_, attempt.handle_);
    const auto handle = entry.handle_;
    port_.record_bill(handle, make_bill(entry));
    if (!settings_.safeguards_.records_bill_before_end_)
        bill_recorded(handle);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::settle_with_fallback(request_entry& entry) -> void
{
    // Once chunks of a better answer were sent, a different answer must not follow them.
    if (!entry.fallback_ || entry.is_released_) {
        const auto is_broken = entry.resume_version_.has_value();
        refuse(
            entry, is_broken ? state::error_kind::endpoint_failed : state::error_kind::no_allowed_version, {},
            is_broken ? "The answer was cut off and its version is no longer allowed. Send the request again."
                      : "The profile has no version that accepts new requests. Ask the operators.");
        return;
    }
    cancel_open_attempt(entry);
    entry.attempt_ = entry.fallback_->attempt_;
    entry.answer_tokens_ = entry.fallback_->tokens_;
    const auto found = queues_.find(pool_of(entry.description_));
    if (found != queues_.end())
        found->second.remove(entry.handle_);
    log(entry, "fallback", entry.attempt_->version_.text(), 1, "no better answer can be had in time");
    settle_with_attempt(entry);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::bill_recorded(state::request_handle request) -> void
{
    observe_clock();
    auto* entry = requests_.find(request);
    if (entry == nullptr || entry->stage_ != request_stage::recording)
        return;
    if (entry->claim_nonce_) {
        const auto key = state::claim_key{.workspace_ = entry->description_.workspace_,
                                          .idempotency_key_ = *entry->description_.idempotency_key_};
        port_.finish_claim(key, *entry->claim_nonce_, request, entry->attempt_->handle_);
    }
    port_.finish(request, summarise(*entry));
    requests_.close(request);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::claim_settled(state::request_handle request,
                                                        const claims::claim_verdict& verdict) -> void
{
    using claims::claim_verdict_kind;
    using state::error_kind;
    observe_clock();
    auto* entry = requests_.find(request);
    if (entry == nullptr || entry->stage_ != request_stage::claiming) {
        if (verdict.kind_ == claim_verdict_kind::granted)
            port_.abandon_claim(verdict.key_, verdict.nonce_);
        return;
    }
    const auto pool = pool_of(entry->description_);
    log(*entry, "claim", claims::to_string(verdict.kind_), 1, "non-idempotent call");
    switch (verdict.kind_) {
    case claim_verdict_kind::granted:
        entry->claim_nonce_ = verdict.nonce_;
        entry->waiting_since_ = clock_.now();
        enqueue(*entry);
        dispatch_queued(pool);
        return;
    case claim_verdict_kind::finished:
        port_.replay(request);
        requests_.close(request);
        return;
    case claim_verdict_kind::in_progress:
        entry->may_have_run_ = true;
        refuse(*entry, error_kind::already_in_progress, retry_after(),
               "The call with this key is still in progress. Retry later to get its outcome.");
        return;
    case claim_verdict_kind::unknown:
        entry->may_have_run_ = true;
        refuse(*entry, error_kind::outcome_unknown, {},
               "The call with this key may have run and its outcome is lost. Check whether it took effect "
               "before using a new key.");
        return;
    case claim_verdict_kind::unavailable:
        refuse(*entry, error_kind::platform_unavailable, retry_after(),
               "The call cannot be claimed while the platform is unavailable. Retry with the same key.");
        return;
    case claim_verdict_kind::mismatch:
        refuse(*entry, error_kind::conflict, {},
               "The key was used for a call with different content. Use a new key for a new call.");
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::caller_left(state::request_handle request) -> void
{
    observe_clock();
    auto* entry = requests_.find(request);
    if (entry == nullptr || entry->stage_ == request_stage::recording)
        return;
    // A call that must not be repeated continues, so that a resend with its key can get the outcome.
    const auto must_go_on =
        !entry->description_.is_repeatable_ && entry->attempt_ && entry->attempt_->is_open_;
    if (must_go_on)
        return;
    refuse(*entry, state::error_kind::outcome_unknown, {}, "The caller closed the connection.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::tick() -> void
{
    const auto now = observe_clock();
    for (const auto handle : requests_.handles()) {
        if (auto* entry = requests_.find(handle))
            check_stage_timeout(*entry, now);
    }
    for (const auto handle : requests_.expired(now)) {
        if (auto* entry = requests_.find(handle))
            expire(*entry);
    }
    suspects_.forget_old(now);
    samples_.forget_before(now - sample_timeout);
    guard_.clear_expired_alarms(now);
    for (const auto& version : guard_.raise_alarms(now))
        log_halt(version, "turned bad in service");
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::check_stage_timeout(request_entry& entry, state::time_point now)
    -> void
{
    const auto in_stage = now - entry.stage_since_;
    switch (entry.stage_) {
    case request_stage::queued: {
        // A suspect request waits for an endpoint of its own, which may take longer than the timeout.
        const auto is_suspect_request = suspects_.is_suspect(entry.description_.content_);
        if (is_suspect_request || now - entry.waiting_since_ <= settings_.queue_timeout_)
            return;
        if (has_usable_fallback(entry))
            settle_with_fallback(entry);
        else
            refuse(entry, state::error_kind::no_capacity, retry_after(),
                   "No endpoint had free capacity in time. Retry later.");
        return;
    }
    case request_stage::claiming:
        if (in_stage > settings_.claim_timeout_)
            refuse(entry, state::error_kind::platform_unavailable, retry_after(),
                   "The call could not be claimed in time. Retry with the same key.");
        return;
    case request_stage::rating:
        if (in_stage > settings_.rating_timeout_)
            rating_received(entry.handle_, entry.attempt_->handle_, std::nullopt);
        return;
    case request_stage::announcing:
        if (in_stage <= settings_.announcement_timeout_)
            return;
        if (now - entry.crashed_at_ > settings_.queue_timeout_) {
            retry_or_refuse(entry, *entry.last_result_);
            return;
        }
        entry.stage_since_ = now;
        port_.announce_suspects(entry.attempt_->endpoint_, {entry.description_.content_});
        return;
    case request_stage::running:
    case request_stage::recording:
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::expire(request_entry& entry) -> void
{
    if (entry.stage_ == request_stage::recording)
        return;
    if (has_usable_fallback(entry)) {
        settle_with_fallback(entry);
        return;
    }
    refuse(entry, state::error_kind::deadline_exceeded, {},
           "The deadline passed before the answer was complete. Allow more time.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::refuse(request_entry& entry, state::error_kind kind,
                                                 state::duration retry_after, std::string detail) -> void
{
    cancel_open_attempt(entry);
    end_claim(entry);
    const auto is_unknown = entry.may_have_run_ && settings_.safeguards_.distinguishes_unknown_from_not_run_;
    const auto run = is_unknown ? run_state::unknown : run_state::not_run;
    verify(run == run_state::unknown || entry.runs_ == 0 ||
               !settings_.safeguards_.distinguishes_unknown_from_not_run_,
           state::guarantee::not_run_is_true, "a request that ran must not be reported as not run");
    log(entry, "refuse", std::string{state::to_string(kind)}, 0, detail);
    const auto handle = entry.handle_;
    const auto found = queues_.find(pool_of(entry.description_));
    if (found != queues_.end())
        found->second.remove(handle);
    port_.refuse(handle,
                 {.kind_ = kind, .run_ = run, .retry_after_ = retry_after, .detail_ = std::move(detail)});
    requests_.close(handle);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::end_claim(const request_entry& entry) -> void
{
    if (!entry.claim_nonce_)
        return;
    const auto key = state::claim_key{.workspace_ = entry.description_.workspace_,
                                      .idempotency_key_ = *entry.description_.idempotency_key_};
    if (entry.may_have_run_)
        port_.lose_claim(key, *entry.claim_nonce_);
    else
        port_.abandon_claim(key, *entry.claim_nonce_);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::make_bill(const request_entry& entry) -> state::bill_record
{
    return {.key_ = {.workspace_ = entry.description_.workspace_, .request_ = entry.description_.id_},
            .profile_ = entry.description_.profile_,
            .origin_ = identity_.instance_,
            .origin_incarnation_ = identity_.life_,
            .sequence_ = ++last_bill_,
            .completed_ = clock_.wall_now(),
            .parts_ = entry.parts_};
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::add_part(request_entry& entry, const state::version_key& version,
                                                   state::token_count tokens) -> void
{
    constexpr auto tokens_per_price = 1000;
    const auto* settings = configuration_->find_version(version);
    const auto price = settings != nullptr ? settings->price_per_thousand_tokens_ : state::micro_credits{};
    const auto cost = state::micro_credits{price.value() * tokens.value() / tokens_per_price};
    entry.parts_.push_back({.version_ = version, .tokens_ = tokens, .cost_ = cost});
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::summarise(const request_entry& entry) const -> answer_summary
{
    auto summary = answer_summary{.attempt_ = entry.attempt_->handle_,
                                  .version_ = entry.attempt_->version_,
                                  .endpoint_ = entry.attempt_->endpoint_,
                                  .attempts_ = entry.attempts_,
                                  .tokens_ = entry.answer_tokens_};
    for (const auto& part : entry.parts_)
        summary.cost_ += part.cost_;
    const auto& session = entry.description_.session_;
    if (!session.is_empty() && entry.description_.target_ == state::target_kind::model)
        summary.pin_ = state::session_pin{.session_ = session, .version_ = summary.version_};
    return summary;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::target_of(const request_entry& entry) const -> state::permille
{
    const auto* profile = configuration_->find_profile(entry.description_.profile_);
    return profile != nullptr ? profile->quality_target_ : state::permille{};
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::enter_stage(request_entry& entry, request_stage stage) -> void
{
    entry.stage_ = stage;
    entry.stage_since_ = clock_.now();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::log(const request_entry& entry, std::string action,
                                              std::string choice, std::size_t candidates, std::string reason)
    -> void
{
    port_.log({.request_ = entry.description_.id_,
               .workspace_ = entry.description_.workspace_,
               .action_ = std::move(action),
               .choice_ = std::move(choice),
               .candidates_ = candidates,
               .reason_ = std::move(reason)});
}

} // namespace buckthorndale::coordination::routing

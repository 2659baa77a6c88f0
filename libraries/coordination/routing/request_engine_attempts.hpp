#pragma once

// Attempts: dispatch, results, retries, resumes and crashes; part of request_engine.hpp.

#include "coordination/routing/request_engine.hpp"

#include <utility>

namespace buckthorndale::coordination::routing {

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::dispatch(request_entry& entry, const version_choice& choice,
                                                   const placement::placement_query& query,
                                                   const state::endpoint_id& endpoint) -> void
{
    verify_dispatch(entry, choice.version_);
    const auto* view = endpoints_.find(endpoint);
    verify(view != nullptr, state::guarantee::internal_consistency, "a chosen endpoint must be known");
    verify(!settings_.safeguards_.avoids_leaving_endpoints_ ||
               (!view->has_announced_leaving_ && view->endpoint_.state_ == state::instance_state::live),
           state::guarantee::leaving_endpoint_avoided, "a leaving endpoint must get no new requests");
    if (entry.attempts_ == 0)
        budgets_[pool_of(entry.description_)].earn();
    const auto handle = requests_.open_attempt(entry);
    const auto is_held = choice.may_escalate_ && !entry.is_released_;
    entry.attempt_ = running_attempt{.handle_ = handle,
                                     .endpoint_ = endpoint,
                                     .version_ = choice.version_,
                                     .release_ = is_held ? release_mode::hold : release_mode::stream,
                                     .may_escalate_ = is_held,
                                     .is_sampled_ = is_sampled(entry, choice.version_),
                                     .was_suspect_ = query.is_suspect_,
                                     .started_ = clock_.now()};
    ++entry.attempts_;
    endpoints_.begin(endpoint, query);
    enter_stage(entry, request_stage::running);
    log(entry, "dispatch", choice.version_.text() + " at " + endpoint.text(), choice.candidates_,
        choice.reason_);
    port_.dispatch(
        {.request_ = entry.handle_,
         .attempt_ = handle,
         .endpoint_ = endpoint,
         .address_ = view->endpoint_.address_,
         .target_ = entry.description_.target_,
         .version_ = choice.version_,
         .resume_offset_ = entry.resume_offset_,
         .release_ = entry.attempt_->release_,
         .is_rated_later_ = entry.attempt_->is_sampled_ && !is_held && target_of(entry) > state::permille{},
         .needs_new_connection_ = !entry.description_.is_repeatable_,
         .issued_ = clock_.now(),
         .first_chunk_timeout_ = settings_.first_chunk_timeout_,
         .chunk_timeout_ = settings_.chunk_timeout_});
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::verify_dispatch(const request_entry& entry,
                                                          const state::version_key& version) const -> void
{
    const auto& description = entry.description_;
    verify(description.is_repeatable_ || !entry.may_have_run_, state::guarantee::at_most_once,
           "a call that may have run must not be dispatched again");
    verify(!description.idempotency_key_ || entry.claim_nonce_ ||
               !settings_.safeguards_.claims_before_dispatch_,
           state::guarantee::at_most_once, "a non-idempotent call must hold its claim");
    verify(!entry.is_billed_, state::guarantee::billed_once, "a billed request must not be dispatched again");
    if (description.target_ != state::target_kind::model)
        return;
    const auto* profile = configuration_->find_profile(description.profile_);
    verify(profile != nullptr, state::guarantee::allowed_version, "the profile must exist at dispatch");
    verify(configuration_->is_allowed(*profile, version), state::guarantee::allowed_version,
           "the version must be allowed at dispatch and must not be withdrawn");
    const auto is_pinned =
        description.pin_ && configuration_->is_allowed(*profile, description.pin_->version_);
    verify(!is_pinned || !settings_.safeguards_.pins_sessions_ || description.pin_->version_ == version,
           state::guarantee::session_keeps_version, "a pinned session must stay on its version");
    verify(!entry.resume_version_ || *entry.resume_version_ == version, state::guarantee::whole_answer,
           "an interrupted stream must resume on the version that started it");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::first_chunk_released(state::attempt_handle attempt) -> void
{
    observe_clock();
    auto* entry = requests_.find_by_attempt(attempt);
    if (entry == nullptr)
        return;
    entry->is_released_ = true;
    entry->may_have_run_ = true;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::attempt_ended(const attempt_result& result) -> void
{
    observe_clock();
    auto* entry = requests_.find_by_attempt(result.attempt_);
    if (entry == nullptr || !entry->attempt_->is_open_)
        return;
    const auto pool = pool_of(entry->description_);
    close_attempt(*entry, result);
    if (result.kind_ == attempt_result_kind::complete)
        handle_complete_answer(*entry, result);
    else
        handle_failed_attempt(*entry, result);
    dispatch_queued(pool);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::close_attempt(request_entry& entry, const attempt_result& result)
    -> void
{
    auto& attempt = *entry.attempt_;
    attempt.is_open_ = false;
    endpoints_.end(attempt.endpoint_, attempt.was_suspect_);
    update_endpoint_health(attempt, result);
    entry.is_released_ = entry.is_released_ || result.is_released_;
    if (is_not_run(result.kind_))
        return;
    entry.may_have_run_ = true;
    entry.waiting_since_ = clock_.now();
    ++entry.runs_;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::update_endpoint_health(const running_attempt& attempt,
                                                                 const attempt_result& result) -> void
{
    const auto now = clock_.now();
    const auto& endpoint = attempt.endpoint_;
    if (result.reported_running_)
        endpoints_.report_load(endpoint, *result.reported_running_, now);
    if (result.is_leaving_ && settings_.safeguards_.avoids_leaving_endpoints_)
        endpoints_.mark_leaving(endpoint);
    switch (result.kind_) {
    case attempt_result_kind::complete:
        endpoints_.mark_succeeded(endpoint);
        return;
    case attempt_result_kind::declined:
        endpoints_.mark_full(endpoint, now);
        return;
    case attempt_result_kind::wrong_version:
        endpoints_.mark_version_missing(endpoint, attempt.version_);
        return;
    case attempt_result_kind::rejected:
        return;
    case attempt_result_kind::nothing_sent:
    case attempt_result_kind::broken:
    case attempt_result_kind::silent:
    case attempt_result_kind::crashed:
    case attempt_result_kind::failed:
        endpoints_.mark_failed(endpoint, now);
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::handle_failed_attempt(request_entry& entry,
                                                                const attempt_result& result) -> void
{
    log(entry, "attempt-ended", std::string{to_string(result.kind_)}, 0,
        "at " + entry.attempt_->endpoint_.text());
    const auto counts_against_version =
        result.kind_ == attempt_result_kind::failed || result.kind_ == attempt_result_kind::crashed;
    if (counts_against_version && entry.attempt_->is_sampled_)
        record_quality(entry.attempt_->version_, entry.description_.profile_, false);
    if (result.kind_ == attempt_result_kind::rejected) {
        refuse(entry, state::error_kind::invalid_request, {},
               "The endpoint rejected the request as invalid. Correct the request.");
        return;
    }
    if (result.kind_ == attempt_result_kind::crashed && settings_.safeguards_.refuses_crashing_requests_) {
        handle_crash(entry, result);
        return;
    }
    retry_or_refuse(entry, result);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::handle_crash(request_entry& entry, const attempt_result& result)
    -> void
{
    const auto content = entry.description_.content_;
    suspects_.add_local(content, entry.attempt_->endpoint_, clock_.now());
    // The request is retried or refused only after the other routers know of the crash: a refused caller
    // would send the request to one of them next.
    entry.last_result_ = result;
    entry.crashed_at_ = clock_.now();
    enter_stage(entry, request_stage::announcing);
    port_.announce_suspects(entry.attempt_->endpoint_, {content});
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::suspects_announced(state::content_fingerprint content,
                                                             bool is_running_elsewhere) -> void
{
    observe_clock();
    // The timeout check announces it again after announcement_timeout_.
    if (is_running_elsewhere && !suspects_.is_blocked(content))
        return;
    for (const auto handle : requests_.handles()) {
        auto* entry = requests_.find(handle);
        const auto is_match = entry != nullptr && entry->stage_ == request_stage::announcing &&
                              entry->description_.content_ == content;
        if (is_match)
            retry_or_refuse(*entry, *entry->last_result_);
    }
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::running_contents() const -> std::set<state::content_fingerprint>
{
    auto contents = std::set<state::content_fingerprint>{};
    requests_.for_each([&contents](const request_entry& entry) {
        // A request whose crash is being announced counts as running, because it may be retried.
        const auto is_announcing = entry.stage_ == request_stage::announcing;
        if (is_announcing || (entry.attempt_ && entry.attempt_->is_open_))
            contents.insert(entry.description_.content_);
    });
    return contents;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::learn_suspects(
    const state::endpoint_id& endpoint, const std::vector<state::content_fingerprint>& contents) -> void
{
    const auto now = observe_clock();
    for (const auto content : contents)
        suspects_.add_remote(content, endpoint, now);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::learn_cleared(state::content_fingerprint content) -> void
{
    observe_clock();
    suspects_.clear(content);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::retry_or_refuse(request_entry& entry, const attempt_result& result)
    -> void
{
    if (can_retry(entry, result)) {
        entry.excluded_.insert(entry.attempt_->endpoint_);
        prepare_resume(entry, result);
        log(entry, "retry", std::string{to_string(result.kind_)}, 0, "attempt failed");
        enqueue(entry);
        return;
    }
    if (has_usable_fallback(entry)) {
        settle_with_fallback(entry);
        return;
    }
    if (suspects_.is_blocked(entry.description_.content_)) {
        refuse(entry, state::error_kind::suspected_request, {},
               "Endpoints crashed while running this request. Change it before sending it again.");
        return;
    }
    refuse(entry, state::error_kind::endpoint_failed, retry_after(),
           "The endpoint did not complete its answer. Send the request again if it may run twice.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::can_retry(const request_entry& entry, const attempt_result& result)
    -> bool
{
    const auto& description = entry.description_;
    if (clock_.now() >= entry.deadline_)
        return false;
    if (settings_.safeguards_.refuses_crashing_requests_ && suspects_.is_blocked(description.content_))
        return false;
    if (is_not_run(result.kind_))
        return true;
    if (!description.is_repeatable_ || entry.runs_ >= settings_.max_runs_)
        return false;
    return budgets_[pool_of(description)].try_spend();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::prepare_resume(request_entry& entry, const attempt_result& result)
    -> void
{
    if (!entry.is_released_)
        return;
    entry.resume_version_ = entry.attempt_->version_;
    entry.resume_offset_ = settings_.safeguards_.resumes_at_offset_ ? result.chunks_accepted_ : 0;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::cancel_open_attempt(request_entry& entry) -> void
{
    if (!entry.attempt_ || !entry.attempt_->is_open_)
        return;
    entry.attempt_->is_open_ = false;
    entry.may_have_run_ = true;
    endpoints_.end(entry.attempt_->endpoint_, entry.attempt_->was_suspect_);
    port_.cancel(entry.attempt_->handle_);
}

} // namespace buckthorndale::coordination::routing

#pragma once

// Attempts: dispatch, endings, retries, resumes and crashes; part of request_engine.hpp.

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
    verify(!settings_.safeguards_.heeds_leaving_ ||
               (!view->has_said_leaving_ && view->endpoint_.state_ == state::instance_state::live),
           state::guarantee::leaving_endpoint_avoided, "a leaving endpoint must get no new work");
    if (entry.attempts_ == 0)
        budgets_[pool_of(entry.description_)].earn();
    const auto handle = book_.open_attempt(entry);
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
    enter(entry, request_stage::running);
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
         .first_piece_limit_ = settings_.first_piece_limit_,
         .piece_limit_ = settings_.piece_limit_});
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
    verify(!is_pinned || !settings_.safeguards_.keeps_sessions_ || description.pin_->version_ == version,
           state::guarantee::session_keeps_version, "a pinned session must stay on its version");
    verify(!entry.resume_version_ || *entry.resume_version_ == version, state::guarantee::whole_answer,
           "a broken stream must go on with the version that began it");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::released_first_piece(state::attempt_handle attempt) -> void
{
    observe_clock();
    auto* entry = book_.find_by_attempt(attempt);
    if (entry == nullptr)
        return;
    entry->is_released_ = true;
    entry->may_have_run_ = true;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::attempt_ended(const attempt_ending& ending) -> void
{
    observe_clock();
    auto* entry = book_.find_by_attempt(ending.attempt_);
    if (entry == nullptr || !entry->attempt_->is_open_)
        return;
    const auto pool = pool_of(entry->description_);
    close_attempt(*entry, ending);
    if (ending.kind_ == ending_kind::whole)
        accept_whole(*entry, ending);
    else
        accept_failure(*entry, ending);
    pump(pool);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::close_attempt(request_entry& entry, const attempt_ending& ending)
    -> void
{
    auto& attempt = *entry.attempt_;
    attempt.is_open_ = false;
    endpoints_.end(attempt.endpoint_, attempt.was_suspect_);
    learn_of_endpoint(attempt, ending);
    entry.is_released_ = entry.is_released_ || ending.is_released_;
    if (is_not_run(ending.kind_))
        return;
    entry.may_have_run_ = true;
    entry.waiting_since_ = clock_.now();
    ++entry.runs_;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::learn_of_endpoint(const running_attempt& attempt,
                                                            const attempt_ending& ending) -> void
{
    const auto now = clock_.now();
    const auto& endpoint = attempt.endpoint_;
    if (ending.reported_running_)
        endpoints_.report_load(endpoint, *ending.reported_running_, now);
    if (ending.is_leaving_ && settings_.safeguards_.heeds_leaving_)
        endpoints_.mark_leaving(endpoint);
    switch (ending.kind_) {
    case ending_kind::whole:
        endpoints_.mark_succeeded(endpoint);
        return;
    case ending_kind::declined:
        endpoints_.mark_full(endpoint, now);
        return;
    case ending_kind::wrong_version:
        endpoints_.mark_version_missing(endpoint, attempt.version_);
        return;
    case ending_kind::rejected:
        return;
    case ending_kind::nothing_sent:
    case ending_kind::broken:
    case ending_kind::silent:
    case ending_kind::crashed:
    case ending_kind::failed:
        endpoints_.mark_failed(endpoint, now);
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::accept_failure(request_entry& entry, const attempt_ending& ending)
    -> void
{
    log(entry, "attempt-ended", std::string{to_string(ending.kind_)}, 0,
        "at " + entry.attempt_->endpoint_.text());
    const auto is_fault_of_version =
        ending.kind_ == ending_kind::failed || ending.kind_ == ending_kind::crashed;
    if (is_fault_of_version && entry.attempt_->is_sampled_)
        record_quality(entry.attempt_->version_, entry.description_.profile_, false);
    if (ending.kind_ == ending_kind::rejected) {
        refuse(entry, state::error_kind::invalid_request, {},
               "The endpoint refused the request as wrong. Correct the request.");
        return;
    }
    if (ending.kind_ == ending_kind::crashed && settings_.safeguards_.convicts_crashers_) {
        accept_crash(entry, ending);
        return;
    }
    retry_or_refuse(entry, ending);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::accept_crash(request_entry& entry, const attempt_ending& ending)
    -> void
{
    const auto content = entry.description_.content_;
    suspects_.add_own(content, entry.attempt_->endpoint_, clock_.now());
    // The caller is answered, and the request tried again, only when the other routers know of the
    // crash: its caller would send it to one of them next.
    entry.last_ending_ = ending;
    entry.crashed_at_ = clock_.now();
    enter(entry, request_stage::announcing);
    port_.announce_suspects(entry.attempt_->endpoint_, {content});
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::suspects_announced(state::content_fingerprint content,
                                                             bool is_running_elsewhere) -> void
{
    observe_clock();
    // The sweep announces it again after a while.
    if (is_running_elsewhere && !suspects_.is_convicted(content))
        return;
    for (const auto handle : book_.handles()) {
        auto* entry = book_.find(handle);
        const auto is_meant = entry != nullptr && entry->stage_ == request_stage::announcing &&
                              entry->description_.content_ == content;
        if (is_meant)
            retry_or_refuse(*entry, *entry->last_ending_);
    }
    pump();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::running_contents() const -> std::set<state::content_fingerprint>
{
    auto contents = std::set<state::content_fingerprint>{};
    book_.for_each([&contents](const request_entry& entry) {
        // A request that was in a crash just now is as good as running: it may be tried again.
        const auto is_tried = entry.stage_ == request_stage::announcing;
        if (is_tried || (entry.attempt_ && entry.attempt_->is_open_))
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
        suspects_.add_foreign(content, endpoint, now);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::learn_cleared(state::content_fingerprint content) -> void
{
    observe_clock();
    suspects_.clear(content);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::retry_or_refuse(request_entry& entry, const attempt_ending& ending)
    -> void
{
    if (can_retry(entry, ending)) {
        entry.excluded_.insert(entry.attempt_->endpoint_);
        prepare_resume(entry, ending);
        log(entry, "retry", std::string{to_string(ending.kind_)}, 0, "attempt failed");
        enqueue(entry);
        return;
    }
    if (has_usable_fallback(entry)) {
        settle_with_fallback(entry);
        return;
    }
    if (suspects_.is_convicted(entry.description_.content_)) {
        refuse(entry, state::error_kind::suspected_request, {},
               "Endpoints crashed while they ran this request. Change it before sending it again.");
        return;
    }
    refuse(entry, state::error_kind::endpoint_failed, retry_after(),
           "The endpoint did not answer whole. Send the request again if it may run twice.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::can_retry(const request_entry& entry, const attempt_ending& ending)
    -> bool
{
    const auto& description = entry.description_;
    if (clock_.now() >= entry.deadline_)
        return false;
    if (settings_.safeguards_.convicts_crashers_ && suspects_.is_convicted(description.content_))
        return false;
    if (is_not_run(ending.kind_))
        return true;
    if (!description.is_repeatable_ || entry.runs_ >= settings_.most_runs_)
        return false;
    return budgets_[pool_of(description)].try_spend();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::prepare_resume(request_entry& entry, const attempt_ending& ending)
    -> void
{
    if (!entry.is_released_)
        return;
    entry.resume_version_ = entry.attempt_->version_;
    entry.resume_offset_ = settings_.safeguards_.resumes_at_offset_ ? ending.pieces_accepted_ : 0;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::leave_attempt(request_entry& entry) -> void
{
    if (!entry.attempt_ || !entry.attempt_->is_open_)
        return;
    entry.attempt_->is_open_ = false;
    entry.may_have_run_ = true;
    endpoints_.end(entry.attempt_->endpoint_, entry.attempt_->was_suspect_);
    port_.cancel(entry.attempt_->handle_);
}

} // namespace buckthorndale::coordination::routing

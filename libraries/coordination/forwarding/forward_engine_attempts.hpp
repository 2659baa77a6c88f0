#pragma once

// Part of forward_engine.hpp: dispatch, response headers, results of attempts, retries and evidence.

#include "coordination/forwarding/forward_engine.hpp"

#include "state/invariant.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace buckthorndale::coordination::forwarding {

inline auto milliseconds_text(state::duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::dispatch(entry& item, const pool_choice& choice,
                                                   const std::string& reason) -> void
{
    const auto now = clock_.now();
    const auto& endpoint = choice.endpoint_;
    const auto* known = pool_.find(endpoint);
    verify(known != nullptr, state::guarantee::internal_consistency, "a chosen endpoint must be known");
    verify(item.route_.is_repeatable() || !item.may_have_run_, state::guarantee::at_most_once,
           "a request that may not be repeated must not run again");
    verify(item.attempts_ < item.route_.max_attempts_, state::guarantee::internal_consistency,
           "a request must not be tried more often than its route allows");
    if (item.attempts_ == 0 && item.unreachable_count_ == 0)
        budgets_[known->service_].earn();
    ++item.attempts_;
    last_attempt_ = last_attempt_.next();
    const auto left = item.deadline_ - now;
    // Sound endpoints pause for about a second, and callers abandon a stream after two seconds or more.
    constexpr auto min_stall_threshold = state::duration{std::chrono::milliseconds{1500}};
    const auto is_held = item.route_.is_repeatable() && !item.is_model_settled_ && !item.model_.is_empty() &&
                         item.model_ != item.route_.models_.back();
    item.attempt_ = running_attempt{.handle_ = last_attempt_,
                                    .endpoint_ = endpoint,
                                    .service_ = known->service_,
                                    .version_ = known->version_,
                                    .model_ = item.model_,
                                    .started_ = now,
                                    .is_held_ = is_held,
                                    .work_ = choice.work_,
                                    .queue_ = choice.expected_ - choice.work_};
    owners_.emplace(last_attempt_, item.handle_);
    pool_.begin(endpoint, item.attempt_->work_, now);
    item.last_service_ = known->service_;
    item.last_version_ = known->version_;
    pin_session(item);
    log(item, "dispatch",
        reason + ", version " + known->version_.text() + ", window " +
            std::to_string(static_cast<int>(windows_[known->service_].size())) + ", in flight " +
            std::to_string(pool_.in_flight(known->service_)) + ", queue " + milliseconds_text(choice.queue_) +
            " ms");
    port_.dispatch(
        forward_command{.request_ = item.handle_,
                        .attempt_ = last_attempt_,
                        .address_ = known->address_,
                        .endpoint_ = endpoint,
                        .kind_ = item.route_.kind_,
                        .workspace_ = item.workspace_,
                        .model_ = item.model_,
                        .priority_ = item.priority_,
                        .deadline_ = item.deadline_,
                        .first_byte_timeout_ = left,
                        .stall_threshold_ = std::max(item.route_.gap_objective_, min_stall_threshold),
                        .resume_after_ = item.last_event_,
                        .is_resumable_ = item.route_.is_repeatable(),
                        .is_held_ = is_held});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::response_headers_received(const response_headers& headers) -> void
{
    // An attempt that was abandoned may still have passed its answer on, so its notice counts too.
    if (!headers.endpoint_.is_empty())
        apply_notice(headers.endpoint_, headers.notice_);
    auto* item = find(headers.attempt_);
    if (item == nullptr)
        return;
    const auto now = clock_.now();
    auto& attempt = *item->attempt_;
    if (!attempt.is_relayed())
        pool_.mark_reached(attempt.endpoint_, now);
    if (!headers.is_success_)
        return;
    attempt.first_byte_time_ = now - attempt.started_;
    if (attempt.is_relayed()) {
        relay_peers_.record_success(attempt.relay_);
        return;
    }
    remove_pending_work(attempt);
    // The queueing delay does not count as this request's service time. It is an estimate, so at least a
    // quarter of the time to first byte is always counted.
    constexpr auto min_own_time_divisor = 4;
    forecast_.record(item->route_.name_, attempt.model_, prompt_length(item->request_),
                     std::max(*attempt.first_byte_time_ - attempt.queue_,
                              *attempt.first_byte_time_ / min_own_time_divisor));
    const auto objective = item->route_.latency_objective_;
    windows_[attempt.service_].record_first_byte(*attempt.first_byte_time_, objective,
                                                 pool_.in_flight(attempt.service_), now);
    pool_.record_first_byte(attempt.endpoint_,
                            std::chrono::duration<double>(*attempt.first_byte_time_) /
                                std::chrono::duration<double>(objective),
                            now);
    pool_.pauses().record_good_answer(attempt.endpoint_, attempt.started_, now);
    // The largest model is slow even without load.
    if (item->route_.models_.empty() || attempt.model_ != item->route_.models_.back())
        first_byte_latency_.record(item->route_.name_, *attempt.first_byte_time_, objective);
    if (item->route_.kind_ == state::request_kind::stream)
        record_time(*item, attempt, roll_out::time_measure::first_byte, *attempt.first_byte_time_);
    if (!attempt.is_held_)
        return;
    const auto query = query_for(*item, pick_service(*item), item->route_.models_.back());
    const auto choice = pool_.choose(query, now, random_.next());
    const auto better = escalation_model(item->route_, item->model_,
                                         {.confidence_ = headers.confidence_.value_or(100),
                                          .attempts_left_ = item->route_.max_attempts_ - item->attempts_,
                                          .since_arrival_ = now - item->arrived_,
                                          .time_left_ = item->deadline_ - now,
                                          .expected_ = choice ? choice->expected_ : state::duration::max()});
    if (!better) {
        attempt.is_held_ = false;
        item->is_model_settled_ = true;
        log(*item, "release",
            "confidence " + std::to_string(headers.confidence_.value_or(100)) +
                ", the largest model's time " +
                (choice ? milliseconds_text(choice->expected_) + " ms, queue " +
                              milliseconds_text(choice->queue_) + " ms"
                        : std::string{"unknown"}));
        port_.release(item->handle_, attempt.handle_);
        return;
    }
    const auto can_escalate = choice && !pool_.is_ejected(choice->endpoint_, now) &&
                              budgets_[attempt.service_].has_retry() && !is_blocked(*item) &&
                              !item->is_trial_;
    // The answer at hand is kept unless a failure of the better one could be made up for.
    if (!can_escalate) {
        attempt.is_held_ = false;
        item->is_model_settled_ = true;
        log(*item, "release", "no endpoint or no retry is left for the escalation");
        port_.release(item->handle_, attempt.handle_);
        return;
    }
    port_.cancel(attempt.handle_);
    // The result of the cancelled attempt is unknown, so it is not recorded as evidence.
    item->may_have_run_ = true;
    pool_.mark_succeeded(attempt.endpoint_);
    detach_attempt(*item);
    item->model_ = *better;
    dispatch(*item, *choice, "escalate at confidence " + std::to_string(headers.confidence_.value_or(0)));
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::share_paces() -> endpoint_sum_report<endpoint_pace_sums>
{
    if (!settings_.learns_capacity_)
        return {};
    const auto now = clock_.now();
    const auto slow_before = pool_.paces().count_slow();
    pool_.paces().refresh(paces_.remote(now), now);
    auto report = paces_.report(pool_.paces().own_sums(), now);
    if (pool_.paces().count_slow() != slow_before)
        port_.log(forward_log{.action_ = "endpoint_paces",
                              .reason_ = std::to_string(pool_.paces().count_slow()) + " slow and " +
                                         std::to_string(pool_.paces().count_fast()) + " fast endpoints",
                              .generation_ = table_->generation_});
    return report;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::attempt_stalled(const stalled_attempt& stall) -> void
{
    auto* item = find(stall.attempt_);
    if (item == nullptr)
        return;
    if (!stall.last_event_.empty()) {
        item->last_event_ = stall.last_event_;
        item->is_released_ = true;
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(stall.silent_for_);
    const auto reason = "silent for " + std::to_string(milliseconds.count()) + " ms";
    if (item->route_.is_repeatable() && replace_silent_attempt(*item, "the stream is " + reason))
        return;
    auto& attempt = *item->attempt_;
    if (attempt.is_judged_ || attempt.is_relayed())
        return;
    log(*item, "keep_stalled", reason);
    const auto result =
        forward_attempt_result{.attempt_ = attempt.handle_, .outcome_ = forward_outcome::silent};
    update_endpoint_state(*item, attempt, result);
    record_evidence(*item, attempt, result);
    attempt.is_judged_ = true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::replace_silent_attempt(entry& item, const std::string& reason)
    -> bool
{
    const auto running = *item.attempt_;
    // The other instance replaces it.
    if (running.is_relayed())
        return false;
    // Streams of one endpoint stall together, and the endpoints that they would move to may have no room.
    constexpr auto max_unconfirmed = std::ptrdiff_t{4};
    if (!may_run_again(item, forward_outcome::silent))
        return false;
    if (!pool_.is_unreachable(running.endpoint_) && are_replacements_unconfirmed(max_unconfirmed))
        return false;
    const auto is_newly_excluded = item.excluded_.insert(running.endpoint_).second;
    const auto choice =
        pool_.choose(query_for(item, pick_service(item), item.model_), clock_.now(), random_.next());
    // Without other endpoints the pool chooses an excluded one.
    const auto is_usable = choice && choice->endpoint_ != running.endpoint_ &&
                           !pool_.is_ejected(choice->endpoint_, clock_.now());
    const auto can_relay =
        !is_usable && should_relay(item, running.service_, choice) &&
        relay_peers_.choose(settings_.data_centre_, item.relays_, clock_.now(), 0).has_value();
    if ((!is_usable && !can_relay) || !budgets_[running.service_].try_spend()) {
        if (is_newly_excluded)
            item.excluded_.erase(running.endpoint_);
        return false;
    }
    const auto attempt = abandon_attempt(item);
    const auto result =
        forward_attempt_result{.attempt_ = attempt.handle_, .outcome_ = forward_outcome::silent};
    update_endpoint_state(item, attempt, result);
    record_evidence(item, attempt, result);
    if (can_relay)
        relay(item, attempt.service_, reason);
    else
        dispatch(item, *choice, reason);
    item.attempt_->is_replacement_ = true;
    return true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::are_replacements_unconfirmed(std::ptrdiff_t max_unconfirmed) const
    -> bool
{
    const auto is_unconfirmed = [](const auto& known) {
        const auto& attempt = known.second.attempt_;
        return attempt && attempt->is_replacement_ && !attempt->first_byte_time_;
    };
    return std::ranges::count_if(entries_, is_unconfirmed) >= max_unconfirmed;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::apply_notice(const state::endpoint_id& endpoint,
                                                       const endpoint_notice& notice) -> void
{
    if (notice.asks_for_pause()) {
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(notice.pause_);
        pool_.pauses().add(endpoint, notice.pause_, clock_.now(), random_.next());
        port_.log(forward_log{.action_ = "endpoint_pauses",
                              .endpoint_ = endpoint,
                              .reason_ = "the endpoint asked for " + std::to_string(time.count()) + " ms",
                              .generation_ = table_->generation_});
    }
    if (const auto* known = pool_.find(endpoint))
        apply_stated_rates(*known, notice);
    const auto news =
        notice.is_leaving_ ? pool_.mark_leaving(endpoint, clock_.now()) : std::optional<leaving_endpoint>{};
    if (!news)
        return;
    port_.log(forward_log{.action_ = "endpoint_leaving",
                          .endpoint_ = endpoint,
                          .reason_ = "the endpoint announced its shutdown",
                          .generation_ = table_->generation_});
    port_.announce_leaving(*news);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::attempt_ended(const forward_attempt_result& result) -> void
{
    auto* item = find(result.attempt_);
    if (item == nullptr)
        return;
    if (result.outcome_ != forward_outcome::complete) {
        auto reason = std::string{to_string(result.outcome_)};
        if (result.outcome_ == forward_outcome::crashed)
            reason.append(", ").append(progress_of(*item));
        log(*item, "attempt_over", std::move(reason));
    }
    if (result.outcome_ == forward_outcome::complete && item->attempt_->first_byte_time_ &&
        !item->attempt_->is_relayed())
        clear_parts(*item, *item->attempt_, item->attempt_->started_ + *item->attempt_->first_byte_time_);
    const auto had_run = item->may_have_run_;
    if (item->attempt_->is_relayed()) {
        const auto relayed = detach_attempt(*item);
        finish_relay(*item, relayed, result, had_run);
        dispatch_queued();
        return;
    }
    const auto attempt = close_attempt(*item, result);
    update_endpoint_state(*item, attempt, result);
    // A pause that an endpoint asks for says nothing about its version.
    if (!result.has_asked_for_pause_)
        record_evidence(*item, attempt, result);
    continue_after(*item, attempt, result, had_run);
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::progress_of(const entry& item) -> std::string
{
    constexpr auto max_logged_parts = std::size_t{8};
    constexpr auto max_logged_characters = std::size_t{32};
    const auto& attempt = *item.attempt_;
    auto text = std::string{"not begun"};
    if (attempt.first_byte_time_) {
        const auto begun = clock_.now() - attempt.started_ - *attempt.first_byte_time_;
        text = "begun " +
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(begun).count()) +
               " ms ago";
    }
    text += ", parts";
    for (const auto& part : item.request_.prompt_ | std::views::take(max_logged_parts))
        text.append(" ").append(part.id_, 0, max_logged_characters);
    return text;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::close_attempt(entry& item, const forward_attempt_result& result)
    -> running_attempt
{
    auto attempt = detach_attempt(item);
    const auto has_not_run = result.outcome_ == forward_outcome::declined ||
                             result.outcome_ == forward_outcome::misdirected ||
                             result.outcome_ == forward_outcome::not_sent;
    if (!has_not_run)
        item.may_have_run_ = true;
    // A request that was not sent does not count as an attempt, nor does the rest of a stream that an
    // endpoint declined.
    if (result.outcome_ == forward_outcome::not_sent || (has_not_run && item.is_released_)) {
        --item.attempts_;
        ++item.unreachable_count_;
    }
    if (!result.last_event_.empty()) {
        item.last_event_ = result.last_event_;
        item.is_released_ = true;
    }
    item.excluded_.insert(attempt.endpoint_);
    if (result.outcome_ == forward_outcome::crashed && !answer_began_at(attempt))
        ++item.crashes_;
    return attempt;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::update_endpoint_state(const entry& item,
                                                                const running_attempt& attempt,
                                                                const forward_attempt_result& result) -> void
{
    const auto now = clock_.now();
    // A pause that an endpoint asks for says nothing about its health.
    if (result.has_asked_for_pause_)
        return;
    switch (result.outcome_) {
    case forward_outcome::complete:
        pool_.mark_succeeded(attempt.endpoint_);
        pool_.mark_reached(attempt.endpoint_, now);
        return;
    case forward_outcome::broken:
    case forward_outcome::silent:
        pool_.mark_failed(attempt.endpoint_, now);
        pool_.check_soon(attempt.endpoint_);
        return;
    case forward_outcome::failed:
    case forward_outcome::malformed:
        if (result.blames_request_)
            pool_.mark_reached(attempt.endpoint_, now);
        else
            pool_.mark_failed(attempt.endpoint_, now);
        return;
    case forward_outcome::declined:
        if (result.blames_request_) {
            pool_.mark_reached(attempt.endpoint_, now);
            return;
        }
        pool_.mark_full(attempt.endpoint_, now);
        announce_decline(attempt);
        windows_[attempt.service_].record_declined(now);
        return;
    case forward_outcome::not_sent:
        pool_.mark_unreachable(attempt.endpoint_, now);
        return;
    case forward_outcome::crashed:
        pool_.mark_unreachable(attempt.endpoint_, now);
        record_crash(item, attempt);
        return;
    case forward_outcome::misdirected:
        record_misdirected(item, attempt, result.answered_by_);
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_evidence(const entry& item, const running_attempt& attempt,
                                                          const forward_attempt_result& result) -> void
{
    if (attempt.is_judged_)
        return;
    const auto record = [&](bool is_good) {
        roll_outs_.record(attempt.service_, attempt.version_, item.route_.name_, attempt.endpoint_, is_good);
    };
    switch (result.outcome_) {
    case forward_outcome::silent:
    case forward_outcome::broken:
        // A bad version is silent or aborts its streams while its endpoint answers probes.
        suspect_failure(item, attempt, result.outcome_);
        return;
    case forward_outcome::failed:
    case forward_outcome::malformed:
        record(false);
        return;
    case forward_outcome::complete:
        break;
    default:
        return;
    }
    record(true);
    constexpr auto min_events = 4;
    const auto is_stream = item.route_.kind_ == state::request_kind::stream;
    if (is_stream && result.events_ >= min_events)
        record_time(item, attempt, roll_out::time_measure::between_events,
                    result.stream_time_ / (result.events_ - 1));
    else if (!is_stream && attempt.first_byte_time_)
        record_time(item, attempt, roll_out::time_measure::whole, *attempt.first_byte_time_);
    if (is_stream && result.events_ >= min_events)
        record_pace(item, attempt, result.stream_time_, result.events_ - 1);
    else if (!is_stream && attempt.first_byte_time_)
        record_pace(item, attempt, *attempt.first_byte_time_, 1);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_pace(const entry& item, const running_attempt& attempt,
                                                      state::duration time, std::int64_t steps) -> void
{
    if (!settings_.learns_capacity_)
        return;
    const auto& route = item.route_.name_;
    if (step_times_.has_average(route, attempt.model_))
        pool_.paces().record(attempt.endpoint_, time,
                             step_times_.expected(route, attempt.model_, steps, state::duration::zero()));
    step_times_.record(route, attempt.model_, steps, time);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_time(const entry& item, const running_attempt& attempt,
                                                      roll_out::time_measure measure, state::duration time)
    -> void
{
    const auto work = roll_out::work_kind{
        .measure_ = measure, .route_ = item.route_.name_, .model_ = attempt.model_.text()};
    roll_outs_.record_time(attempt.service_, attempt.version_, work, attempt.endpoint_, attempt.started_,
                           time, clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::continue_after(entry& item, const running_attempt& attempt,
                                                         const forward_attempt_result& result, bool had_run)
    -> void
{
    if (result.outcome_ == forward_outcome::complete) {
        finish(item, attempt.handle_);
        return;
    }
    const auto has_not_run = result.outcome_ == forward_outcome::declined ||
                             result.outcome_ == forward_outcome::misdirected ||
                             result.outcome_ == forward_outcome::not_sent;
    // Other endpoints do not have the model that the caller names either.
    const auto is_unknown_model = result.outcome_ == forward_outcome::misdirected &&
                                  result.answered_by_ == attempt.endpoint_ &&
                                  !item.request_.model_.is_empty();
    if (is_unknown_model && !item.is_released_ && !item.may_have_run_) {
        refuse(item, state::error_kind::unknown_model, unknown_model_detail(item.request_.model_));
        return;
    }
    if (has_not_run && item.is_released_ && item.route_.is_repeatable()) {
        await_resumption(item);
        return;
    }
    if (can_retry(item, attempt, result.outcome_)) {
        start_next_attempt(item, "again");
        return;
    }
    switch (result.outcome_) {
    case forward_outcome::failed:
        // Forwards the endpoint's own error response unless part of another response was already delivered.
        if (item.is_released_)
            refuse(item, state::error_kind::endpoint_failed, "The stream could not be resumed.");
        else if (is_untrue_promise(item, result, had_run))
            refuse(item, state::error_kind::endpoint_failed,
                   "The endpoint answered that the request has not run, which it may have.");
        else
            finish(item, attempt.handle_);
        return;
    case forward_outcome::declined:
    case forward_outcome::misdirected:
    case forward_outcome::not_sent:
        if (result.blames_request_ && !item.may_have_run_) {
            finish(item, attempt.handle_);
            return;
        }
        refuse(item, item.may_have_run_ ? state::error_kind::endpoint_failed : state::error_kind::no_capacity,
               "No endpoint accepted the request.");
        return;
    default:
        refuse(item, state::error_kind::outcome_unknown,
               "The endpoint did not send a complete response; the request may have run.");
        return;
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::is_untrue_promise(const entry& item,
                                                            const forward_attempt_result& result,
                                                            bool had_run) -> bool
{
    // An endpoint that did not run a request says so beside the status; then the outcome is another one.
    return result.promises_not_run_ && (had_run || !item.route_.is_repeatable());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::await_resumption(entry& item) -> void
{
    // Endpoints without room stay so for a while, and each try costs a retry.
    constexpr auto pause_after_decline = state::duration{std::chrono::milliseconds{250}};
    next_resumption_ = clock_.now() + pause_after_decline;
    if (!std::exchange(item.awaits_resumption_, true))
        log(item, "await_resumption", "no endpoint accepted the rest of the stream");
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::resume_waiting_streams() -> void
{
    auto waiting = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (item.awaits_resumption_)
            waiting.push_back(handle);
    }
    for (const auto handle : waiting) {
        // One stream tries at a time; the others follow once it is accepted.
        if (clock_.now() < next_resumption_ || are_replacements_unconfirmed(1))
            return;
        resume_stream(entries_.at(handle));
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::resume_stream(entry& item) -> void
{
    if (pause_left(item) > state::duration::zero())
        return;
    if (!may_run_again(item, forward_outcome::declined)) {
        refuse(item, state::error_kind::endpoint_failed, "No endpoint accepted the rest of the stream.");
        return;
    }
    const auto service = pick_service(item);
    const auto choice = pool_.choose(query_for(item, service, item.model_), clock_.now(), random_.next());
    const auto is_usable = choice && !pool_.is_ejected(choice->endpoint_, clock_.now());
    const auto can_relay =
        !is_usable && should_relay(item, service, choice) &&
        relay_peers_.choose(settings_.data_centre_, item.relays_, clock_.now(), 0).has_value();
    if ((!is_usable && !can_relay) || !budgets_[service].try_spend_reserve())
        return;
    item.awaits_resumption_ = false;
    if (can_relay)
        relay(item, service, "resume");
    else
        dispatch(item, *choice, "resume");
    item.attempt_->is_replacement_ = true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::can_retry(const entry& item, const running_attempt& attempt,
                                                    forward_outcome outcome) -> bool
{
    if (!may_run_again(item, outcome))
        return false;
    return outcome == forward_outcome::not_sent || budgets_[attempt.service_].try_spend();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::may_run_again(const entry& item, forward_outcome outcome) -> bool
{
    // A silent attempt may be running.
    const auto may_have_run = item.may_have_run_ || outcome == forward_outcome::silent;
    const auto is_harmless = item.route_.is_repeatable() || !may_have_run;
    if (!is_harmless || item.attempts_ >= item.route_.max_attempts_)
        return false;
    if (pause_left(item) > state::duration::zero())
        return false;
    constexpr auto max_unreachable = 6;
    // Waits for no verdict, so that a request which crashes endpoints crashes two at most by itself.
    constexpr auto max_crashes = 2;
    if (outcome == forward_outcome::not_sent)
        return item.unreachable_count_ < max_unreachable;
    if (outcome == forward_outcome::crashed && (item.is_trial_ || item.crashes_ >= max_crashes))
        return false;
    if (is_blocked(item))
        return false;
    constexpr auto min_time_left = state::duration{std::chrono::milliseconds{50}};
    return item.deadline_ - clock_.now() >= min_time_left;
}

} // namespace buckthorndale::coordination::forwarding

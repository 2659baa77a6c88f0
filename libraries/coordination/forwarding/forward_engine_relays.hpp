#pragma once

// Part of forward_engine.hpp: endpoints out of reach, and requests passed on to other instances.

#include "coordination/forwarding/forward_engine.hpp"
#include "coordination/forwarding/silence_check.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace buckthorndale::coordination::forwarding {

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::should_relay(const entry& item, const state::service_name& service,
                                                       const std::optional<pool_choice>& choice) const -> bool
{
    constexpr auto max_relays = std::size_t{3};
    constexpr auto max_unreachable = 2;
    // A request takes one hop at most.
    if (!choice || item.request_.relayed_attempts_ || item.relays_.size() >= max_relays)
        return false;
    return pool_.is_unreachable(choice->endpoint_) || pool_.is_cut_off(service) ||
           item.unreachable_count_ >= max_unreachable;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::relay(entry& item, const state::service_name& service,
                                                const std::string& reason) -> bool
{
    const auto now = clock_.now();
    const auto peer = relay_peers_.choose(settings_.data_centre_, item.relays_, now, random_.next());
    if (!peer || item.attempts_ >= item.route_.max_attempts_)
        return false;
    // One attempt is kept in case that the other instance is lost.
    const auto attempts = std::max(item.route_.max_attempts_ - item.attempts_ - 1, 1);
    if (item.attempts_ == 0 && item.unreachable_count_ == 0)
        budgets_[service].earn();
    ++item.attempts_;
    last_attempt_ = last_attempt_.next();
    item.relays_.insert(peer->id_);
    item.attempt_ =
        running_attempt{.handle_ = last_attempt_, .service_ = service, .started_ = now, .relay_ = peer->id_};
    owners_.emplace(last_attempt_, item.handle_);
    // The other instance chooses the model, but the rest of a stream stays on the one that began it.
    const auto model = item.is_released_ ? item.model_ : state::model_name{};
    log(item, "relay", reason + ", to " + peer->id_.text());
    port_.dispatch(forward_command{.request_ = item.handle_,
                                   .attempt_ = last_attempt_,
                                   .address_ = peer->address_,
                                   .kind_ = item.route_.kind_,
                                   .model_ = model,
                                   .deadline_ = item.deadline_,
                                   .first_byte_timeout_ = item.deadline_ - now,
                                   .stall_threshold_ = item.deadline_ - now,
                                   .resume_after_ = item.last_event_,
                                   .is_resumable_ = item.route_.is_repeatable(),
                                   .relayed_attempts_ = attempts});
    return true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::sweep_late_relays(state::time_point now) -> void
{
    // The other instance waits for its endpoints for a part of the objective.
    constexpr auto min_wait = state::duration{std::chrono::seconds{1}};
    auto late = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        const auto is_waiting =
            item.attempt_ && item.attempt_->is_relayed() && !item.attempt_->first_byte_time_;
        if (is_waiting && now - item.attempt_->started_ > std::max(item.route_.latency_objective_, min_wait))
            late.push_back(handle);
    }
    for (const auto handle : late) {
        auto& item = entries_.at(handle);
        const auto running = *item.attempt_;
        relay_peers_.record_failure(running.relay_, now);
        if (!may_run_again(item, forward_outcome::silent))
            continue;
        const auto can_relay = relay_peers_.choose(settings_.data_centre_, item.relays_, now, 0).has_value();
        if (!can_relay || !budgets_[running.service_].try_spend())
            continue;
        abandon_attempt(item);
        relay(item, running.service_, "the other instance does not answer");
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::finish_relay(entry& item, const running_attempt& attempt,
                                                       forward_attempt_result result, bool had_run) -> void
{
    if (!result.last_event_.empty()) {
        item.last_event_ = result.last_event_;
        item.is_released_ = true;
    }
    const auto has_not_run = result.outcome_ == forward_outcome::declined ||
                             result.outcome_ == forward_outcome::misdirected ||
                             result.outcome_ == forward_outcome::not_sent;
    const auto is_unknown_model =
        result.outcome_ == forward_outcome::misdirected && !item.request_.model_.is_empty();
    if (is_unknown_model && !item.is_released_ && !item.may_have_run_) {
        relay_peers_.record_success(attempt.relay_);
        refuse(item, state::error_kind::unknown_model, unknown_model_detail(item.request_.model_));
        return;
    }
    if (has_not_run) {
        --item.attempts_;
        ++item.unreachable_count_;
        result.outcome_ = forward_outcome::not_sent;
    } else {
        item.may_have_run_ = true;
    }
    const auto is_answer =
        result.outcome_ == forward_outcome::complete || result.outcome_ == forward_outcome::failed;
    if (is_answer)
        relay_peers_.record_success(attempt.relay_);
    else
        relay_peers_.record_failure(attempt.relay_, clock_.now());
    // The other instance has tried what there is to try.
    const auto is_final = result.outcome_ == forward_outcome::failed && !item.is_released_ &&
                          !is_untrue_promise(item, result, had_run);
    if (is_final)
        finish(item, attempt.handle_);
    else
        continue_after(item, attempt, result, had_run);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::endpoint_probed(const state::endpoint_id& endpoint,
                                                          bool is_reachable) -> void
{
    if (is_reachable)
        pool_.mark_reached(endpoint, clock_.now());
    else
        pool_.mark_unreachable(endpoint, clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_misdirected(const entry& item,
                                                             const running_attempt& attempt,
                                                             const state::endpoint_id& named) -> void
{
    log(item, "misdirected",
        "at " + attempt.endpoint_.text() + ", answered by " +
            (named.is_empty() ? "an unnamed one" : named.text()));
    pool_.identities().record_misdirected(attempt.endpoint_, named, clock_.now());
    if (named == attempt.endpoint_)
        pool_.mark_reached(attempt.endpoint_, clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::endpoint_identified(const state::endpoint_id& expected,
                                                              const state::endpoint_id& named) -> void
{
    pool_.identities().record_checked(expected, named, clock_.now());
    port_.log(forward_log{.action_ = "endpoint_identified",
                          .endpoint_ = expected,
                          .reason_ = "answered by " + (named.is_empty() ? "none" : named.text()),
                          .generation_ = table_->generation_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::check_identities() -> void
{
    for (const auto& id : pool_.identities().take_checks(clock_.now())) {
        const auto* endpoint = pool_.find(id);
        if (endpoint != nullptr && !pool_.is_emptied(*endpoint))
            port_.identify(id, endpoint->address_, table_->health_path(endpoint->service_));
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::check_silent_attempts(state::time_point now) -> void
{
    for (const auto& [handle, item] : entries_) {
        if (!item.attempt_ || item.attempt_->first_byte_time_ || item.attempt_->is_relayed())
            continue;
        const auto& attempt = *item.attempt_;
        const auto waited = now - std::max(attempt.started_, pool_.heard_at(attempt.endpoint_));
        const auto is_service_silent = pool_.heard_at(attempt.service_) < attempt.started_;
        if (waited >
            check_after(item.route_.latency_objective_, attempt.work_ + attempt.queue_, is_service_silent))
            pool_.check_if_due(attempt.endpoint_, now);
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::probe_endpoints() -> void
{
    for (const auto& id : pool_.take_probes(clock_.now(), random_.next())) {
        if (const auto* endpoint = pool_.find(id))
            port_.probe(id, endpoint->address_, table_->probe_path(endpoint->service_));
    }
    if (!pool_.has_lost_endpoints() && cut_off_services_.empty())
        return;
    for (const auto& service : pool_.services()) {
        const auto is_cut_off = pool_.is_cut_off(service);
        if (is_cut_off == cut_off_services_.contains(service))
            continue;
        if (is_cut_off)
            cut_off_services_.insert(service);
        else
            cut_off_services_.erase(service);
        port_.log(forward_log{.action_ = is_cut_off ? "links_lost" : "links_regained",
                              .reason_ = "to the endpoints of " + service.text(),
                              .generation_ = table_->generation_});
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::suspect_failure(const entry& item, const running_attempt& attempt,
                                                          forward_outcome outcome) -> suspected_failure&
{
    return suspected_failures_.emplace_back(suspected_failure{.seen_at_ = clock_.now(),
                                                              .outcome_ = outcome,
                                                              .attempt_ = attempt,
                                                              .route_ = item.route_.name_,
                                                              .content_ = item.request_.content_,
                                                              .parts_ = item.shared_parts_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::judge_failures() -> void
{
    // Links that are reset refuse the connections that are tried; others leave probes without an answer.
    constexpr auto crash_verdict_time = state::duration{std::chrono::milliseconds{80}};
    constexpr auto probe_verdict_time = state::duration{std::chrono::milliseconds{400}};
    // Endpoints rarely fail within the same moment; links do.
    constexpr auto min_lost_beside = 2;
    const auto now = clock_.now();
    const auto is_due = [&](const suspected_failure& failure) {
        const auto is_crash = failure.outcome_ == forward_outcome::crashed;
        return now - failure.seen_at_ >= (is_crash ? crash_verdict_time : probe_verdict_time);
    };
    const auto first_due = std::stable_partition(suspected_failures_.begin(), suspected_failures_.end(),
                                                 [&](const auto& failure) { return !is_due(failure); });
    const auto due = std::vector<suspected_failure>(first_due, suspected_failures_.end());
    suspected_failures_.erase(first_due, suspected_failures_.end());
    for (const auto& failure : due) {
        const auto& attempt = failure.attempt_;
        const auto is_own_link = pool_.is_cut_off(attempt.service_) ||
                                 pool_.lost_beside(attempt.endpoint_, failure.seen_at_) >= min_lost_beside;
        if (failure.outcome_ != forward_outcome::crashed) {
            if (!is_own_link && !pool_.is_unreachable(attempt.endpoint_))
                roll_outs_.record(attempt.service_, attempt.version_, failure.route_, attempt.endpoint_,
                                  false);
            continue;
        }
        if (is_own_link)
            continue;
        auto crash = crash_notice{.endpoint_ = attempt.endpoint_,
                                  .content_ = failure.content_,
                                  .parts_ = failure.parts_,
                                  .sent_ago_ = failure.seen_at_ - attempt.started_};
        record_crash_evidence(crash, failure.seen_at_);
        crash.sent_ago_ = now - attempt.started_;
        port_.announce_crash(crash);
    }
}

} // namespace buckthorndale::coordination::forwarding

#pragma once

// Part of forward_engine.hpp: admission, queueing, choice of version and endpoint, and final responses.

#include "coordination/forwarding/forward_engine.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthorndale::coordination::forwarding {

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::configure(std::shared_ptr<const state::routing_table> table) -> void
{
    if (table->generation_ <= table_->generation_)
        return;
    table_ = std::move(table);
    pool_.cold().configure(table_->cold_starts_, clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::arrive(state::request_handle handle, forward_request request)
    -> void
{
    const auto id = request.id_;
    const auto refused = admit(handle, std::move(request));
    if (refused) {
        port_.log(forward_log{.request_ = id,
                              .action_ = "refuse",
                              .reason_ = std::string{state::to_string(refused->kind_)},
                              .generation_ = table_->generation_});
        port_.refuse(handle, *refused);
        return;
    }
    enqueue(entries_.at(handle));
    dispatch_queued();
    if (const auto found = entries_.find(handle); found != entries_.end())
        refuse_if_hopeless(found->second);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::admit(state::request_handle handle, forward_request request)
    -> std::optional<routing::refusal>
{
    using state::error_kind;
    const auto now = clock_.now();
    const auto refusal_of = [this](error_kind kind, std::string detail) {
        return routing::refusal{.kind_ = kind, .retry_after_ = retry_after(), .detail_ = std::move(detail)};
    };
    if (table_->generation_ == state::generation{})
        return refusal_of(error_kind::no_configuration,
                          "This instance has no configuration yet. Send the request to another instance.");
    if (stop_began_ && now - *stop_began_ > settings_.shutdown_grace_period_)
        return refusal_of(error_kind::shutting_down,
                          "This instance is shutting down. Send the request to another instance.");
    if (entries_.size() >= settings_.max_requests_)
        return refusal_of(
            error_kind::no_capacity,
            "This instance has reached its limit of concurrent requests. Send the request again later.");
    // An instance whose configuration may be stale does not refuse callers permanently.
    const auto* route = table_->find_route(request.host_, request.path_);
    if (route == nullptr)
        return refusal_of(is_fresh_ ? error_kind::not_found : error_kind::no_configuration,
                          "No route matches the host and path.");
    // The models of a route may have changed; then endpoints tell whether they have the one that is named.
    const auto is_unknown_model = is_fresh_ && !route->models_.empty() && !request.model_.is_empty() &&
                                  !request.relayed_attempts_ &&
                                  std::ranges::find(route->models_, request.model_) == route->models_.end();
    if (is_unknown_model)
        return refusal_of(error_kind::unknown_model, unknown_model_detail(request.model_));
    auto item = entry{.handle_ = handle, .route_ = *route, .priority_ = route->priority_, .arrived_ = now};
    if (table_->needs_keys_ && !route->is_anonymous_) {
        const auto owner = table_->keys_.find(request.key_);
        if (owner == table_->keys_.end())
            return refusal_of(is_fresh_ ? error_kind::unauthenticated : error_kind::no_configuration,
                              "The API key is not known.");
        item.workspace_ = owner->second.workspace_;
        item.priority_ = owner->second.priority_.value_or(item.priority_);
    }
    item.shared_parts_ = shared_parts(request);
    item.content_key_ = {state::prompt_part_key{request.content_.value()}};
    if (is_blocked(item)) {
        const auto time = time_to_trial(item, now);
        if (time > state::duration::zero())
            return routing::refusal{.kind_ = error_kind::no_capacity,
                                    .retry_after_ = time,
                                    .detail_ = std::string{crashing_part_detail}};
        part_suspects_.begin_trial(item.shared_parts_, now, draw());
        content_suspects_.begin_trial(item.content_key_, now, draw());
        item.is_trial_ = true;
        port_.announce_blocked_parts(blocked_parts());
    }
    auto allowed = route->time_limit_;
    if (request.time_allowed_ > state::duration::zero())
        allowed = std::min(allowed, request.time_allowed_);
    item.deadline_ = now + allowed;
    if (request.relayed_attempts_)
        item.route_.max_attempts_ = std::min(item.route_.max_attempts_, *request.relayed_attempts_);
    item.last_event_ = request.last_event_;
    if (request.router_chooses_model_ && !route->models_.empty())
        item.model_ = first_model(*route);
    item.request_ = std::move(request);
    entries_.emplace(handle, std::move(item));
    return std::nullopt;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::pick_service(const entry& item) -> state::service_name
{
    auto sum = std::uint64_t{0};
    for (const auto& target : item.route_.targets_)
        sum += static_cast<std::uint64_t>(target.weight_);
    if (sum == 0)
        return item.route_.targets_.empty() ? state::service_name{} : item.route_.targets_.front().service_;
    auto draw = random_.next() % sum;
    for (const auto& target : item.route_.targets_) {
        const auto weight = static_cast<std::uint64_t>(target.weight_);
        if (draw < weight)
            return target.service_;
        draw -= weight;
    }
    return item.route_.targets_.back().service_;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::query_for(const entry& item, const state::service_name& service,
                                                    const state::model_name& model) -> pool_query
{
    const auto now = clock_.now();
    const auto& request = item.request_;
    auto pinned = pins_.find(request.session_, service, now);
    // A retried request stays on its version, even if it has outlasted the session pin.
    if (item.last_service_ == service && !item.last_version_.is_empty())
        pinned = item.last_version_;
    const auto key = request.session_.is_empty() ? request.id_.text() : request.session_.text();
    const auto draw = static_cast<double>(state::stable_hash(key) >> 11U) * 0x1.0p-53;
    const auto version = roll_outs_.choose(service, pool_.versions_of(service), pinned, draw, now);
    auto affinity = std::string{};
    // The last part belongs to this request alone; the one before it may be cached at an endpoint.
    if (request.prompt_.size() >= 2)
        affinity = request.prompt_[request.prompt_.size() - 2].id_;
    else if (!request.prompt_.empty())
        affinity = request.prompt_.front().id_;
    // A cached prefix elsewhere that saves less is not worth the bytes between data centres.
    constexpr auto min_time_saved_elsewhere = state::duration{std::chrono::milliseconds{30}};
    const auto forecast = [&](std::int64_t units) {
        return forecast_.expected(item.route_.name_, model, units, default_token_time(item.route_, model));
    };
    return {.service_ = service,
            .version_ = version,
            .affinity_ = std::move(affinity),
            .data_centre_ = settings_.data_centre_,
            .stays_in_data_centre_ = !model.is_empty() && !item.route_.models_.empty() &&
                                     default_token_time(item.route_, model) * shared_prompt_length(request) <
                                         min_time_saved_elsewhere,
            .excluded_ = item.excluded_,
            .avoids_cold_ = item.priority_ == 0,
            .work_ = forecast(prompt_length(request)),
            .shared_work_ = forecast(shared_prompt_length(request))};
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::line_of(const state::service_name& service)
    -> admission::waiting_line&
{
    const auto order = settings_.shares_by_workspace_ ? admission::line_order::by_workspace
                                                      : admission::line_order::by_arrival;
    return lines_.try_emplace(service, order).first->second;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::enqueue(entry& item) -> void
{
    const auto service = pick_service(item);
    item.waits_for_ = service;
    const auto length = prompt_length(item.request_);
    line_of(service).push({.handle_ = item.handle_,
                           .workspace_ = item.workspace_,
                           .priority_ = item.priority_,
                           .work_ = forecast_.expected(item.route_.name_, item.model_, length,
                                                       default_token_time(item.route_, item.model_))},
                          clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::leave_line(entry& item) -> void
{
    if (item.waits_for_)
        line_of(*item.waits_for_).remove(item.handle_);
    item.waits_for_.reset();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::dispatch_queued() -> void
{
    for (auto& [service, line] : lines_) {
        auto handle = line.first();
        while (handle) {
            // The request may leave the line now.
            const auto next = line.after(*handle);
            if (!dispatch_waiting(entries_.at(*handle)))
                break;
            handle = next;
        }
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::dispatch_waiting(entry& item) -> bool
{
    const auto now = clock_.now();
    const auto service = *item.waits_for_;
    const auto pause = pause_left(item);
    if (pause > state::duration::zero()) {
        record_unmet(item);
        // Waiting is pointless if the pause outlasts the request's time in the queue.
        if (now + pause > last_wait(item))
            refuse(item, state::error_kind::no_capacity,
                   "The endpoints of the service take no more requests for now.");
        return true;
    }
    // Those behind are as urgent or less, so the window does not admit them either.
    if (settings_.uses_latency_window_ && !windows_[service].admits(pool_.in_flight(service), item.priority_))
        return false;
    line_of(service).take(item.handle_, now);
    item.waits_for_.reset();
    start(item, service, "first");
    return true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::refuse_if_hopeless(entry& item) -> void
{
    if (!settings_.shares_by_workspace_ || !item.waits_for_)
        return;
    const auto now = clock_.now();
    const auto wait = line_of(*item.waits_for_).expected_wait(item.handle_, now);
    if (wait && now + *wait > last_wait(item))
        refuse_busy(item);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::refuse_busy(entry& item) -> void
{
    const auto service = *item.waits_for_;
    refuse(item, state::error_kind::no_capacity,
           "The endpoints are busy; send the request again later: window " +
               std::to_string(static_cast<int>(windows_[service].size())) + ", in flight " +
               std::to_string(pool_.in_flight(service)) + ".");
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::start(entry& item, const state::service_name& service,
                                                const std::string& reason) -> void
{
    // The request may have waited while its parts were found to crash endpoints.
    if (is_blocked(item)) {
        refuse(item, item.may_have_run_ ? state::error_kind::outcome_unknown : state::error_kind::no_capacity,
               std::string{crashing_part_detail});
        return;
    }
    const auto choice = pool_.choose(query_for(item, service, item.model_), clock_.now(), random_.next());
    if (should_relay(item, service, choice) && relay(item, service, reason))
        return;
    // The instance that passed the request on can ask another one.
    const auto is_out_of_reach =
        choice && item.request_.relayed_attempts_ && pool_.is_unreachable(choice->endpoint_);
    if (!choice || is_out_of_reach) {
        const auto kind =
            item.may_have_run_ ? state::error_kind::endpoint_failed : state::error_kind::no_capacity;
        refuse(item, kind, "No endpoint of the service is available.");
        return;
    }
    dispatch(item, *choice, reason);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::start_next_attempt(entry& item, const std::string& reason) -> void
{
    start(item, pick_service(item), reason);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::retry_after() -> state::duration
{
    // Random jitter keeps refused callers from retrying all at once.
    constexpr auto min_delay = state::duration{std::chrono::milliseconds{300}};
    constexpr auto jitter_us = std::uint64_t{500'000};
    return min_delay + state::duration{static_cast<state::duration::rep>(random_.next() % jitter_us)};
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::pause_left(const entry& item) -> state::duration
{
    if (!pool_.has_limits())
        return {};
    const auto now = clock_.now();
    auto earliest = std::optional<state::time_point>{};
    for (const auto& target : item.route_.targets_) {
        const auto time = pool_.next_request_at(query_for(item, target.service_, item.model_), now);
        if (time)
            earliest = std::min(earliest.value_or(*time), *time);
    }
    return earliest.value_or(now) - now;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::return_delay(const entry& item) -> state::duration
{
    const auto now = clock_.now();
    if (pause_left(item) <= state::duration::zero())
        return settings_.shares_by_workspace_ && item.waits_for_ ? return_to_line(item) : retry_after();
    auto earliest = std::optional<state::time_point>{};
    for (const auto& target : item.route_.targets_) {
        const auto time = pool_.next_turn_at(query_for(item, target.service_, item.model_), now);
        if (time)
            earliest = std::min(earliest.value_or(*time), *time);
    }
    return earliest.value_or(now) - now + retry_after();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::return_to_line(const entry& item) -> state::duration
{
    // Callers heed a time to return up to a third of the time that they have left.
    constexpr auto max_part = 3;
    const auto now = clock_.now();
    const auto max_delay = (item.deadline_ - now) / max_part;
    const auto delay = line_of(*item.waits_for_).reserve_return(max_delay, now);
    if (delay <= state::duration::zero())
        return retry_after();
    // Those for whom there is no place left come back spread over the second half of the time.
    return delay < max_delay
               ? delay
               : max_delay / 2 + std::chrono::duration_cast<state::duration>(max_delay / 2 * draw());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_unmet(const entry& item) -> void
{
    for (const auto& target : item.route_.targets_)
        pool_.record_unmet(query_for(item, target.service_, item.model_), clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::last_wait(const entry& item) -> state::time_point
{
    // A request that is still queued by then would only add to the delay of those behind it; its caller can
    // retry instead.
    constexpr auto max_wait_divisor = 8;
    return item.arrived_ + item.route_.latency_objective_ / max_wait_divisor;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::pin_session(const entry& item) -> void
{
    // The pin's lifetime restarts when a request ends, so that long requests do not outlast it.
    if (!item.last_version_.is_empty())
        pins_.pin(item.request_.session_, item.last_service_, item.last_version_, clock_.now());
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::finish(entry& item, state::attempt_handle attempt) -> void
{
    log(item, "finish", "answered");
    pin_session(item);
    port_.finish(item.handle_, attempt);
    erase(item);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::refuse(entry& item, state::error_kind kind,
                                                 const std::string& detail) -> void
{
    pin_session(item);
    const auto run = item.may_have_run_ ? routing::run_state::unknown : routing::run_state::not_run;
    log(item, "refuse", std::string{state::to_string(kind)} + ": " + detail);
    port_.refuse(
        item.handle_,
        routing::refusal{.kind_ = kind, .run_ = run, .retry_after_ = return_delay(item), .detail_ = detail});
    erase(item);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::erase(entry& item) -> void
{
    leave_line(item);
    entries_.erase(item.handle_);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::caller_left(state::request_handle handle) -> void
{
    const auto found = entries_.find(handle);
    if (found == entries_.end())
        return;
    auto& item = found->second;
    log(item, "drop", "the caller left");
    pin_session(item);
    if (item.attempt_)
        abandon_attempt(item);
    erase(found->second);
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::abandon_attempt(entry& item) -> running_attempt
{
    auto attempt = detach_attempt(item);
    port_.cancel(attempt.handle_);
    item.may_have_run_ = true;
    return attempt;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::detach_attempt(entry& item) -> running_attempt
{
    if (!item.attempt_->is_relayed())
        remove_pending_work(*item.attempt_);
    auto attempt = *item.attempt_;
    owners_.erase(attempt.handle_);
    if (!attempt.is_relayed())
        pool_.end(attempt.endpoint_);
    item.attempt_.reset();
    return attempt;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::remove_pending_work(running_attempt& attempt) -> void
{
    pool_.settle(attempt.endpoint_, std::exchange(attempt.work_, state::duration::zero()));
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::tick() -> void
{
    const auto now = clock_.now();
    check_silent_attempts(now);
    check_identities();
    probe_endpoints();
    judge_failures();
    judge_parts();
    sweep_expired(now);
    sweep_late_attempts(now);
    sweep_late_relays(now);
    resume_waiting_streams();
    dispatch_queued();
    auto wanted = pool_.limits().wanted_permits(now);
    for (auto& item : pool_.cold().turns().wanted_permits(now))
        wanted.push_back(std::move(item));
    if (!wanted.empty())
        port_.ask_for_permits({.wanted_permits_ = std::move(wanted)});
    sweep_waiting(now);
    pins_.forget_old(now);
    part_suspects_.forget_old(now);
    content_suspects_.forget_old(now);
    pool_.forget_old(now);
    for (const auto& service : roll_outs_.judge(now))
        port_.log(forward_log{.action_ = "halt_version",
                              .reason_ = "the new version of " + service.text() + " answers worse",
                              .generation_ = table_->generation_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::needs_prompt_tick() const -> bool
{
    const auto has_waiting = [](const auto& item) { return !item.second.is_empty(); };
    const auto awaits_resumption = [](const auto& known) { return known.second.awaits_resumption_; };
    return !suspected_failures_.empty() || pool_.has_lost_endpoints() || pool_.has_stated_limits() ||
           std::ranges::any_of(lines_, has_waiting) || std::ranges::any_of(entries_, awaits_resumption);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::sweep_expired(state::time_point now) -> void
{
    auto expired = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (now >= item.deadline_)
            expired.push_back(handle);
    }
    for (const auto handle : expired) {
        auto& item = entries_.at(handle);
        if (item.attempt_)
            abandon_attempt(item);
        refuse(item, state::error_kind::deadline_exceeded, "The deadline of the request has passed.");
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::end_stop() -> void
{
    auto unfinished = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_)
        unfinished.push_back(handle);
    for (const auto handle : unfinished) {
        auto& item = entries_.at(handle);
        if (item.attempt_)
            abandon_attempt(item);
        if (item.may_have_run_)
            refuse(item, state::error_kind::outcome_unknown,
                   "This instance stops before the endpoint has answered; the request may have run.");
        else
            refuse(item, state::error_kind::shutting_down,
                   "This instance is shutting down. Send the request to another instance.");
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::sweep_waiting(state::time_point now) -> void
{
    auto overdue = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (item.waits_for_ && now > last_wait(item))
            overdue.push_back(handle);
    }
    for (const auto handle : overdue)
        refuse_busy(entries_.at(handle));
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::sweep_late_attempts(state::time_point now) -> void
{
    // While all responses are late, another attempt would only add to the load.
    constexpr auto max_objective_ratio = 0.35;
    constexpr auto late_fraction = 0.6;
    // A long prompt takes long to process, and another endpoint would have to process it from the start.
    constexpr auto max_expected_factor = 3;
    auto late = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (!item.attempt_ || item.attempt_->first_byte_time_ || !item.route_.is_repeatable() ||
            item.attempt_->is_relayed())
            continue;
        const auto part = item.route_.latency_objective_ * late_fraction;
        const auto expected = item.attempt_->work_ + item.attempt_->queue_;
        const auto limit =
            std::max(std::chrono::duration_cast<state::duration>(part), expected * max_expected_factor);
        const auto is_late = now - item.attempt_->started_ > limit &&
                             first_byte_latency_.objective_ratio(item.route_.name_) < max_objective_ratio;
        const auto is_lost = pool_.is_unreachable(item.attempt_->endpoint_);
        if ((is_late || is_lost) && item.attempts_ < item.route_.max_attempts_)
            late.push_back(handle);
    }
    for (const auto handle : late) {
        auto& item = entries_.at(handle);
        const auto endpoint = item.attempt_->endpoint_;
        const auto elapsed = now - item.attempt_->started_;
        const auto is_lost = pool_.is_unreachable(endpoint);
        const auto reason = is_lost ? "the endpoint is out of reach" : "the response headers are late";
        if (!replace_silent_attempt(item, reason) || is_lost)
            continue;
        first_byte_latency_.record(item.route_.name_, elapsed, item.route_.latency_objective_);
        pool_.record_first_byte(endpoint, 1.0, now);
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::log(const entry& item, std::string action, std::string reason)
    -> void
{
    auto line = forward_log{.request_ = item.request_.id_,
                            .action_ = std::move(action),
                            .route_ = item.route_.name_,
                            .model_ = item.model_.text(),
                            .attempt_ = item.attempts_,
                            .reason_ = std::move(reason),
                            .generation_ = table_->generation_,
                            .since_arrival_ = clock_.now() - item.arrived_};
    if (item.attempt_)
        line.endpoint_ = item.attempt_->endpoint_;
    port_.log(line);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::find(state::attempt_handle attempt) -> entry*
{
    const auto owner = owners_.find(attempt);
    return owner == owners_.end() ? nullptr : &entries_.at(owner->second);
}

} // namespace buckthorndale::coordination::forwarding

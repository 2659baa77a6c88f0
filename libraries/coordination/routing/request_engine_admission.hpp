#pragma once

// Admission, queueing and the choice of version and endpoint; part of request_engine.hpp.

#include "coordination/routing/request_engine.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace buckthorndale::coordination::routing {

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::arrive(state::request_handle handle,
                                                 state::request_description description) -> void
{
    const auto now = observe_clock();
    const auto refused = refusal_at_arrival(description);
    const auto deadline = deadline_of(description, now);
    auto& entry = requests_.open(handle, std::move(description), now, deadline);
    entry.waiting_since_ = now;
    entry.configuration_at_arrival_ = configuration_;
    if (refused) {
        refuse(entry, refused->kind_, refused->retry_after_, refused->detail_);
        return;
    }
    const auto pool = pool_of(entry.description_);
    enqueue(entry);
    dispatch_queued(pool);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::configure(std::shared_ptr<const state::configuration> configuration,
                                                    state::time_point asked_at) -> void
{
    observe_clock();
    verify(configuration->generation_ >= configuration_->generation_,
           state::guarantee::configuration_moves_forward,
           "a router must not go back to an older configuration");
    // When operators restart a halted roll-out, its halt and alarm are cleared and evidence starts anew.
    for (const auto& [model, roll_out] : configuration->roll_outs_) {
        const auto* before = configuration_->find_roll_out(model);
        const auto was_halted = before != nullptr && before->state_ == state::roll_out_state::halted;
        if (was_halted && roll_out.state_ == state::roll_out_state::running)
            guard_.lift_halt(roll_out.to_key());
    }
    configuration_ = std::move(configuration);
    freshness_.confirm(asked_at);
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::update_endpoints(const std::vector<state::endpoint>& endpoints)
    -> void
{
    endpoints_.update(endpoints, observe_clock());
    dispatch_queued();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::observe_clock() -> state::time_point
{
    const auto now = clock_.now();
    if (freshness_.observe(now))
        port_.refresh_configuration();
    return now;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::is_stale() const -> bool
{
    return settings_.safeguards_.refreshes_after_freeze_ && !freshness_.is_confirmed();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::refusal_at_arrival(
    const state::request_description& description) const -> std::optional<refusal>
{
    using state::error_kind;
    constexpr auto retry_delay = state::duration{std::chrono::seconds{1}};
    if (is_shutting_down_)
        return refusal{.kind_ = error_kind::shutting_down,
                       .retry_after_ = retry_delay,
                       .detail_ = "This instance is shutting down. Send the request again."};
    if (configuration_->generation_ == state::generation{})
        return refusal{.kind_ = error_kind::no_configuration,
                       .retry_after_ = retry_delay,
                       .detail_ = "This instance has no configuration yet. Send the request again."};
    if (requests_.size() >= settings_.max_requests_)
        return refusal{.kind_ = error_kind::no_capacity,
                       .retry_after_ = retry_delay,
                       .detail_ = "This instance is at its limit of concurrent requests. Retry later."};
    const auto* workspace = configuration_->find_workspace(description.workspace_);
    if (workspace == nullptr)
        return refusal{.kind_ = error_kind::forbidden,
                       .detail_ = "The workspace does not exist. Check its name."};
    const auto is_listed = description.target_ == state::target_kind::model
                               ? std::ranges::count(workspace->profiles_, description.profile_) > 0
                               : std::ranges::count(workspace->services_, description.service_) > 0;
    if (!is_listed)
        return refusal{
            .kind_ = error_kind::forbidden,
            .detail_ = "The workspace may not use this profile or service. Ask the operators for access."};
    if (settings_.safeguards_.refuses_crashing_requests_ && suspects_.is_blocked(description.content_))
        return refusal{
            .kind_ = error_kind::suspected_request,
            .detail_ = "Endpoints crashed while running this request. Change it before sending it again."};
    return std::nullopt;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::deadline_of(const state::request_description& description,
                                                      state::time_point now) const -> state::time_point
{
    if (description.time_allowed_ > state::duration::zero())
        return now + description.time_allowed_;
    const auto* profile = configuration_->find_profile(description.profile_);
    return now + (profile != nullptr ? profile->deadline_ : state::profile{}.deadline_);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::enqueue(request_entry& entry) -> void
{
    enter_stage(entry, request_stage::queued);
    const auto pool = pool_of(entry.description_);
    auto& queue = queues_.try_emplace(pool, settings_.max_queue_length_).first->second;
    const auto* workspace = configuration_->find_workspace(entry.description_.workspace_);
    const auto weight = workspace != nullptr ? workspace->weight_ : 1;
    if (!queue.try_push(entry.description_.workspace_, weight, entry.handle_))
        refuse(entry, state::error_kind::no_capacity, retry_after(),
               "The queue is full for this workspace. Retry later.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::dispatch_queued() -> void
{
    for (auto& [pool, queue] : queues_)
        dispatch_queued(queue);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::dispatch_queued(const pool_key& pool) -> void
{
    const auto found = queues_.find(pool);
    if (found != queues_.end())
        dispatch_queued(found->second);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::dispatch_queued(admission::fair_queue& queue) -> void
{
    // Several requests are examined, so that one that waits for a version does not block those behind it
    // that need another version.
    constexpr auto max_examined = std::size_t{32};
    if (queue.is_empty() || is_stale())
        return;
    for (const auto handle : queue.first(max_examined)) {
        auto* entry = requests_.find(handle);
        if (entry == nullptr || entry->stage_ != request_stage::queued)
            continue;
        if (try_start(*entry) == start_result::started)
            queue.take(handle);
    }
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::try_start(request_entry& entry) -> start_result
{
    const auto& description = entry.description_;
    if (settings_.safeguards_.refuses_crashing_requests_ && suspects_.is_blocked(description.content_)) {
        refuse(entry, state::error_kind::suspected_request, {},
               "Endpoints crashed while running this request. Change it before sending it again.");
        return start_result::ended;
    }
    const auto is_retried_elsewhere = suspects_.is_retried_elsewhere(description.content_, clock_.now());
    if (settings_.safeguards_.refuses_crashing_requests_ && is_retried_elsewhere) {
        refuse(entry, state::error_kind::suspected_request, retry_after(),
               "An endpoint crashed while running this request, and another instance is retrying it. Retry "
               "later.");
        return start_result::ended;
    }
    if (suspects_.is_suspect(description.content_) && has_active_copy(entry))
        return start_result::blocked;
    auto choice = std::optional<version_choice>{version_choice{.reason_ = "service"}};
    if (description.target_ == state::target_kind::model)
        choice = choose_version(entry);
    if (!choice) {
        settle_with_fallback(entry);
        return start_result::ended;
    }
    auto query = query_for(entry, choice->version_);
    const auto endpoint = choose_endpoint(entry, query);
    if (!endpoint)
        return start_result::blocked;
    const auto needs_claim = description.idempotency_key_ && !entry.claim_nonce_;
    if (needs_claim && settings_.safeguards_.claims_before_dispatch_) {
        enter_stage(entry, request_stage::claiming);
        const auto key = state::claim_key{.workspace_ = description.workspace_,
                                          .idempotency_key_ = *description.idempotency_key_};
        port_.claim(entry.handle_, key, description.content_);
        return start_result::started;
    }
    dispatch(entry, *choice, query, *endpoint);
    return start_result::started;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::has_active_copy(const request_entry& entry) const -> bool
{
    auto is_found = false;
    requests_.for_each([&](const request_entry& other) {
        const auto is_copy =
            other.handle_ != entry.handle_ && other.description_.content_ == entry.description_.content_;
        const auto is_active =
            other.stage_ == request_stage::running || other.stage_ == request_stage::announcing;
        is_found = is_found || (is_copy && is_active);
    });
    return is_found;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::choose_version(request_entry& entry)
    -> std::optional<version_choice>
{
    const auto now = clock_.now();
    const auto& configuration = settings_.safeguards_.checks_allowed_at_dispatch_
                                    ? *configuration_
                                    : *entry.configuration_at_arrival_;
    const auto context = selection_context{.configuration_ = configuration,
                                           .guard_ = guard_,
                                           .rates_ = rates_,
                                           .statistics_ = statistics_,
                                           .now_ = now,
                                           .applies_pins_ = settings_.safeguards_.pins_sessions_};
    auto choice = select_version(entry, context);
    if (!choice || !entry.fallback_)
        return choice;
    // An escalation that would miss the deadline is not started; the caller gets the held answer.
    if (now + statistics_.mean_time(choice->version_) > entry.deadline_)
        return std::nullopt;
    return choice;
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::query_for(const request_entry& entry,
                                                    const state::version_key& version) const
    -> placement::placement_query
{
    const auto& description = entry.description_;
    const auto is_model = description.target_ == state::target_kind::model;
    return {.kind_ = is_model ? state::endpoint_kind::engine : state::endpoint_kind::service,
            .version_ = version,
            .service_ = description.service_,
            .prefix_ = description.prefix_,
            .excluded_ = entry.excluded_,
            .is_suspect_ = settings_.safeguards_.refuses_crashing_requests_ &&
                           suspects_.is_suspect(description.content_)};
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::choose_endpoint(const request_entry& entry,
                                                          placement::placement_query& query)
    -> std::optional<state::endpoint_id>
{
    const auto now = clock_.now();
    // Once every endpoint has failed the request, those that are no longer ejected may be tried again.
    if (!entry.excluded_.empty() && !endpoints_.has_candidate(query, now))
        query.excluded_.clear();
    return endpoints_.choose(query, now, random_.next());
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::retry_after() -> state::duration
{
    // Jitter keeps refused callers from retrying all at once.
    constexpr auto min_delay = state::duration{std::chrono::seconds{1}};
    constexpr auto jitter_range = std::uint64_t{2'000'000};
    return min_delay + state::duration{static_cast<state::duration::rep>(random_.next() % jitter_range)};
}

} // namespace buckthorndale::coordination::routing

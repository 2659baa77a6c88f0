#pragma once

// Arrival, queueing and the choice of version and endpoint; part of request_engine.hpp.

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
    auto& entry = book_.open(handle, std::move(description), now, deadline);
    entry.waiting_since_ = now;
    entry.configuration_at_arrival_ = configuration_;
    if (refused) {
        refuse(entry, refused->kind_, refused->retry_after_, refused->detail_);
        return;
    }
    const auto pool = pool_of(entry.description_);
    enqueue(entry);
    pump(pool);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::configure(std::shared_ptr<const state::configuration> configuration,
                                                    state::time_point asked_at) -> void
{
    observe_clock();
    verify(configuration->generation_ >= configuration_->generation_,
           state::guarantee::configuration_moves_forward,
           "a router must not go back to an older configuration");
    // A roll-out that the operators started again begins with a clean record.
    for (const auto& [model, roll_out] : configuration->roll_outs_) {
        const auto* before = configuration_->find_roll_out(model);
        const auto was_halted = before != nullptr && before->state_ == state::roll_out_state::halted;
        if (was_halted && roll_out.state_ == state::roll_out_state::running)
            guard_.lift(roll_out.to_key());
    }
    configuration_ = std::move(configuration);
    freshness_.confirm(asked_at);
    pump();
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::update_endpoints(const std::vector<state::endpoint>& endpoints)
    -> void
{
    endpoints_.update(endpoints, observe_clock());
    pump();
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
    constexpr auto soon = state::duration{std::chrono::seconds{1}};
    if (is_shutting_down_)
        return refusal{.kind_ = error_kind::shutting_down,
                       .retry_after_ = soon,
                       .detail_ = "This instance is shutting down. Send the request again."};
    if (configuration_->generation_ == state::generation{})
        return refusal{.kind_ = error_kind::no_configuration,
                       .retry_after_ = soon,
                       .detail_ = "This instance has no configuration yet. Send the request again."};
    if (book_.size() >= settings_.most_requests_)
        return refusal{.kind_ = error_kind::no_capacity,
                       .retry_after_ = soon,
                       .detail_ = "This instance holds as many requests as it may. Come back later."};
    const auto* workspace = configuration_->find_workspace(description.workspace_);
    if (workspace == nullptr)
        return refusal{.kind_ = error_kind::forbidden,
                       .detail_ = "The workspace does not exist. Check its name."};
    const auto is_listed = description.target_ == state::target_kind::model
                               ? std::ranges::count(workspace->profiles_, description.profile_) > 0
                               : std::ranges::count(workspace->services_, description.service_) > 0;
    if (!is_listed)
        return refusal{.kind_ = error_kind::forbidden,
                       .detail_ = "The workspace may not use this profile or service. Ask its operators."};
    if (settings_.safeguards_.convicts_crashers_ && suspects_.is_convicted(description.content_))
        return refusal{
            .kind_ = error_kind::suspected_request,
            .detail_ = "Endpoints crashed while they ran this request. Change it before sending it again."};
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
    enter(entry, request_stage::queued);
    const auto pool = pool_of(entry.description_);
    auto& queue = queues_.try_emplace(pool, settings_.longest_queue_).first->second;
    const auto* workspace = configuration_->find_workspace(entry.description_.workspace_);
    const auto weight = workspace != nullptr ? workspace->weight_ : 1;
    if (!queue.try_push(entry.description_.workspace_, weight, entry.handle_))
        refuse(entry, state::error_kind::no_capacity, retry_after(),
               "The queue holds as many requests of this workspace as it may. Come back later.");
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::pump() -> void
{
    for (auto& [pool, queue] : queues_)
        pump(queue);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::pump(const pool_key& pool) -> void
{
    const auto found = queues_.find(pool);
    if (found != queues_.end())
        pump(found->second);
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::pump(admission::fair_queue& queue) -> void
{
    // A request that must wait for one version does not hold up those behind it that need another.
    constexpr auto most_looked_at = std::size_t{32};
    if (queue.is_empty() || is_stale())
        return;
    for (const auto handle : queue.first(most_looked_at)) {
        auto* entry = book_.find(handle);
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
    if (settings_.safeguards_.convicts_crashers_ && suspects_.is_convicted(description.content_)) {
        refuse(entry, state::error_kind::suspected_request, {},
               "Endpoints crashed while they ran this request. Change it before sending it again.");
        return start_result::ended;
    }
    const auto is_tried_elsewhere = suspects_.is_tried_elsewhere(description.content_, clock_.now());
    if (settings_.safeguards_.convicts_crashers_ && is_tried_elsewhere) {
        refuse(entry, state::error_kind::suspected_request, retry_after(),
               "An endpoint crashed while it ran this request, and another instance tries it again. Come "
               "back later.");
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
        enter(entry, request_stage::claiming);
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
    book_.for_each([&](const request_entry& other) {
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
                                           .heeds_pins_ = settings_.safeguards_.keeps_sessions_};
    auto choice = select_version(entry, context);
    if (!choice || !entry.fallback_)
        return choice;
    // An escalation that cannot end in time is not begun: the caller gets the answer there is.
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
            .is_suspect_ =
                settings_.safeguards_.convicts_crashers_ && suspects_.is_suspect(description.content_)};
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::choose_endpoint(const request_entry& entry,
                                                          placement::placement_query& query)
    -> std::optional<state::endpoint_id>
{
    const auto now = clock_.now();
    // Once every endpoint has failed the request, those that have rested may be tried again.
    if (!entry.excluded_.empty() && !endpoints_.has_any(query, now))
        query.excluded_.clear();
    return endpoints_.choose(query, now, random_.next());
}

template <time::clock_source Clock, time::random_source Random, router_port Port>
auto request_engine<Clock, Random, Port>::retry_after() -> state::duration
{
    // The times are spread out, so that refused callers do not come back all at once.
    constexpr auto shortest = state::duration{std::chrono::seconds{1}};
    constexpr auto spread = std::uint64_t{2'000'000};
    return shortest + state::duration{static_cast<state::duration::rep>(random_.next() % spread)};
}

} // namespace buckthorndale::coordination::routing

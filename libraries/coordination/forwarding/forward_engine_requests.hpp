#pragma once

// Arrival, placement and final answers; part of forward_engine.hpp.

#include "coordination/forwarding/forward_engine.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <utility>

namespace buckthorndale::coordination::forwarding {

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::configure(std::shared_ptr<const state::routing_table> table) -> void
{
    if (table->generation_ > table_->generation_)
        table_ = std::move(table);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::arrive(state::request_handle handle, forward_request request) -> void
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
    start(entries_.at(handle), "first");
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
        return refusal_of(error_kind::no_configuration, "This instance has no configuration yet.");
    if (stop_began_ && now - *stop_began_ > settings_.serving_after_stop_)
        return refusal_of(error_kind::shutting_down, "This instance is shutting down.");
    if (entries_.size() >= settings_.most_requests_)
        return refusal_of(error_kind::no_capacity, "This instance holds as many requests as it may.");
    // An instance that may have missed a change does not turn callers away for good.
    const auto* route = table_->find_route(request.host_, request.path_);
    if (route == nullptr)
        return refusal_of(is_fresh_ ? error_kind::not_found : error_kind::no_configuration,
                          "No route leads there.");
    auto item = entry{.handle_ = handle, .route_ = *route, .priority_ = route->priority_, .arrived_ = now};
    if (table_->needs_keys_ && !route->is_anonymous_) {
        const auto owner = table_->keys_.find(request.key_);
        if (owner == table_->keys_.end())
            return refusal_of(is_fresh_ ? error_kind::unauthenticated : error_kind::no_configuration,
                              "The key is not known.");
        item.workspace_ = owner->second.workspace_;
        item.priority_ = owner->second.priority_.value_or(item.priority_);
    }
    if (suspects_.is_convicted(request.content_))
        return refusal_of(error_kind::no_capacity, "Endpoints crashed while they ran this request.");
    auto allowed = route->time_limit_;
    if (request.time_allowed_ > state::duration::zero())
        allowed = std::min(allowed, request.time_allowed_);
    item.deadline_ = now + allowed;
    item.last_event_ = request.last_event_;
    if (request.leaves_model_open_ && !route->models_.empty())
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
auto forward_engine<Clock, Random, Port>::query_for(entry& item, const state::service_name& service)
    -> pool_query
{
    const auto now = clock_.now();
    const auto& request = item.request_;
    const auto pinned = pins_.find(request.session_, service, now);
    const auto key = request.session_.is_empty() ? request.id_.text() : request.session_.text();
    const auto draw = static_cast<double>(state::stable_hash(key) >> 11U) * 0x1.0p-53;
    const auto version = roll_outs_.choose(service, pool_.versions_of(service), pinned, draw, now);
    auto affinity = std::string{};
    // The last part belongs to the request alone; those before it are worth coming back for.
    if (request.prompt_.size() >= 2)
        affinity = request.prompt_[request.prompt_.size() - 2].id_;
    else if (!request.prompt_.empty())
        affinity = request.prompt_.front().id_;
    return {.service_ = service,
            .version_ = version,
            .affinity_ = std::move(affinity),
            .data_centre_ = settings_.data_centre_,
            .excluded_ = item.excluded_};
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::start(entry& item, const std::string& reason) -> void
{
    const auto service = pick_service(item);
    const auto endpoint = pool_.choose(query_for(item, service), clock_.now(), random_.next());
    if (!endpoint) {
        const auto kind =
            item.may_have_run_ ? state::error_kind::endpoint_failed : state::error_kind::no_capacity;
        refuse(item, kind, "No endpoint of the service may take the request.");
        return;
    }
    dispatch(item, *endpoint, reason);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::retry_after() -> state::duration
{
    // Spread out, so that refused callers do not come back all at once.
    constexpr auto shortest = state::duration{std::chrono::milliseconds{300}};
    constexpr auto spread = std::uint64_t{500'000};
    return shortest + state::duration{static_cast<state::duration::rep>(random_.next() % spread)};
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::finish(entry& item, state::attempt_handle attempt) -> void
{
    log(item, "finish", "answered");
    port_.finish(item.handle_, attempt);
    entries_.erase(item.handle_);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::refuse(entry& item, state::error_kind kind,
                                                 const std::string& detail) -> void
{
    const auto run = item.may_have_run_ ? routing::run_state::unknown : routing::run_state::not_run;
    log(item, "refuse", std::string{state::to_string(kind)} + ": " + detail);
    port_.refuse(item.handle_, routing::refusal{.kind_ = kind,
                                                .run_ = run,
                                                .retry_after_ = retry_after(),
                                                .detail_ = detail});
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
    if (item.attempt_) {
        port_.cancel(item.attempt_->handle_);
        pool_.end(item.attempt_->endpoint_);
        owners_.erase(item.attempt_->handle_);
    }
    entries_.erase(found);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::tick() -> void
{
    const auto now = clock_.now();
    auto expired = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (now >= item.deadline_)
            expired.push_back(handle);
    }
    for (const auto handle : expired) {
        auto& item = entries_.at(handle);
        if (item.attempt_) {
            port_.cancel(item.attempt_->handle_);
            pool_.end(item.attempt_->endpoint_);
            owners_.erase(item.attempt_->handle_);
            item.attempt_.reset();
            item.may_have_run_ = true;
        }
        refuse(item, state::error_kind::deadline_exceeded, "The time for the request is over.");
    }
    pins_.forget_old(now);
    suspects_.forget_old(now);
    for (const auto& service : roll_outs_.judge(now))
        port_.log(forward_log{.action_ = "halt_version",
                              .reason_ = "the new version of " + service.text() + " answers worse",
                              .generation_ = table_->generation_});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::log(const entry& item, std::string action, std::string reason) -> void
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

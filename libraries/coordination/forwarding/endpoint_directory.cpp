#include "coordination/forwarding/endpoint_directory.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

auto endpoint_directory::mark_store_unavailable(state::time_point now) -> void
{
    // What was still missing when the outage before was over is gone.
    if (!is_retention_active(now))
        retained_.clear();
    is_store_unavailable_ = true;
}

auto endpoint_directory::mark_store_available(state::time_point now) -> void
{
    if (is_store_unavailable_)
        store_available_since_ = now;
    is_store_unavailable_ = false;
}

auto endpoint_directory::is_retention_active(state::time_point now) const -> bool
{
    return is_store_unavailable_ ||
           (store_available_since_ && now - *store_available_since_ < retention_after_outage);
}

auto endpoint_directory::is_restore_recent(state::time_point now) const -> bool
{
    return restored_at_ && now - *restored_at_ < distrust_after_restore;
}

auto endpoint_directory::has_left(const state::registered_endpoint& endpoint, state::time_point now) const
    -> bool
{
    const auto found = left_.find(endpoint.id_);
    return is_restore_recent(now) && found != left_.end() &&
           found->second.incarnation_ == endpoint.incarnation_ &&
           found->second.registered_at_ == endpoint.registered_at_;
}

auto endpoint_directory::note_left(const state::registered_endpoint& endpoint, state::time_point now) -> void
{
    left_.insert_or_assign(endpoint.id_, left_entry{.incarnation_ = endpoint.incarnation_,
                                                    .registered_at_ = endpoint.registered_at_,
                                                    .noted_at_ = now});
}

auto endpoint_directory::list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now)
    -> void
{
    auto fresh = std::map<state::endpoint_id, state::registered_endpoint>{};
    for (const auto& endpoint : endpoints) {
        fresh.emplace(endpoint.id_, endpoint);
        retained_.erase(endpoint.id_);
        if (endpoint.is_draining_)
            note_left(endpoint, now);
        else if (!has_left(endpoint, now))
            left_.erase(endpoint.id_);
    }
    for (const auto& [id, endpoint] : listed_) {
        if (fresh.contains(id))
            continue;
        if (is_retention_active(now) && !endpoint.is_draining_ && !has_left(endpoint, now))
            retained_.emplace(id, endpoint);
        else
            note_left(endpoint, now);
    }
    std::erase_if(left_, [&](const auto& item) { return now - item.second.noted_at_ > max_copy_age; });
    listed_ = std::move(fresh);
}

auto endpoint_directory::current(state::time_point now) const -> std::vector<state::registered_endpoint>
{
    auto endpoints = std::vector<state::registered_endpoint>{};
    for (const auto& [id, endpoint] : listed_) {
        endpoints.push_back(endpoint);
        endpoints.back().is_draining_ = endpoint.is_draining_ || has_left(endpoint, now);
    }
    for (const auto& [id, endpoint] : retained_) {
        if (is_retention_active(now))
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

auto endpoint_directory::next_expiry(state::time_point now) const -> std::optional<state::time_point>
{
    auto next = std::optional<state::time_point>{};
    if (!retained_.empty() && !is_store_unavailable_ && is_retention_active(now))
        next = *store_available_since_ + retention_after_outage;
    const auto has_distrusted = std::ranges::any_of(
        listed_, [&](const auto& item) { return !item.second.is_draining_ && has_left(item.second, now); });
    if (has_distrusted) {
        const auto end = *restored_at_ + distrust_after_restore;
        next = next ? std::min(*next, end) : end;
    }
    return next;
}

} // namespace buckthorndale::coordination::forwarding

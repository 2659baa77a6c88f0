#include "coordination/forwarding/endpoint_directory.hpp"

namespace buckthorndale::coordination::forwarding {

auto endpoint_directory::mark_store_available(state::time_point now) -> void
{
    if (is_store_unavailable_)
        store_available_since_ = now;
    is_store_unavailable_ = false;
}

auto endpoint_directory::list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now)
    -> void
{
    auto fresh = std::map<state::endpoint_id, state::registered_endpoint>{};
    for (const auto& endpoint : endpoints) {
        fresh.emplace(endpoint.id_, endpoint);
        retained_.erase(endpoint.id_);
    }
    const auto is_retention_active =
        is_store_unavailable_ ||
        (store_available_since_ && now - *store_available_since_ < retention_after_outage);
    for (const auto& [id, endpoint] : listed_) {
        if (is_retention_active && !fresh.contains(id) && !endpoint.is_draining_)
            retained_.emplace(id, endpoint);
    }
    listed_ = std::move(fresh);
}

auto endpoint_directory::current(state::time_point now) const -> std::vector<state::registered_endpoint>
{
    auto endpoints = std::vector<state::registered_endpoint>{};
    for (const auto& [id, endpoint] : listed_)
        endpoints.push_back(endpoint);
    const auto includes_retained =
        is_store_unavailable_ ||
        (store_available_since_ && now - *store_available_since_ < retention_after_outage);
    for (const auto& [id, endpoint] : retained_) {
        if (includes_retained)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

auto endpoint_directory::next_expiry(state::time_point now) const -> std::optional<state::time_point>
{
    if (retained_.empty() || !store_available_since_ ||
        now - *store_available_since_ >= retention_after_outage)
        return std::nullopt;
    return *store_available_since_ + retention_after_outage;
}

} // namespace buckthorndale::coordination::forwarding

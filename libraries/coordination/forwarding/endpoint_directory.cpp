#include "coordination/forwarding/endpoint_directory.hpp"

namespace buckthorndale::coordination::forwarding {

auto endpoint_directory::regain(state::time_point now) -> void
{
    if (is_lost_)
        regained_at_ = now;
    is_lost_ = false;
}

auto endpoint_directory::list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now)
    -> void
{
    auto fresh = std::map<state::endpoint_id, state::registered_endpoint>{};
    for (const auto& endpoint : endpoints) {
        fresh.emplace(endpoint.id_, endpoint);
        kept_.erase(endpoint.id_);
    }
    const auto may_return = is_lost_ || (regained_at_ && now - *regained_at_ < longest_return);
    for (const auto& [id, endpoint] : listed_) {
        if (may_return && !fresh.contains(id) && !endpoint.is_draining_)
            kept_.emplace(id, endpoint);
    }
    listed_ = std::move(fresh);
}

auto endpoint_directory::current(state::time_point now) const -> std::vector<state::registered_endpoint>
{
    auto endpoints = std::vector<state::registered_endpoint>{};
    for (const auto& [id, endpoint] : listed_)
        endpoints.push_back(endpoint);
    const auto are_kept = is_lost_ || (regained_at_ && now - *regained_at_ < longest_return);
    for (const auto& [id, endpoint] : kept_) {
        if (are_kept)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

auto endpoint_directory::next_end(state::time_point now) const -> std::optional<state::time_point>
{
    if (kept_.empty() || !regained_at_ || now - *regained_at_ >= longest_return)
        return std::nullopt;
    return *regained_at_ + longest_return;
}

} // namespace buckthorndale::coordination::forwarding

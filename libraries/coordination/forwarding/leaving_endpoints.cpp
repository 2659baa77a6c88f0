#include "coordination/forwarding/leaving_endpoints.hpp"

namespace buckthorndale::coordination::forwarding {

namespace {

constexpr auto retention_time = state::duration{std::chrono::hours{1}};

/// Whether `first` describes a later run of the endpoint than `second`. A restored store may assign another
/// registration number to the same run, so the start time decides where both are known.
template <typename First, typename Second>
auto is_later_run(const First& first, const Second& second) -> bool
{
    if (first.incarnation_ > 0 && second.incarnation_ > 0)
        return first.incarnation_ > second.incarnation_;
    return first.registered_at_ > second.registered_at_;
}

} // namespace

auto leaving_endpoints::add(const leaving_endpoint& leaving, state::time_point now) -> bool
{
    const auto [found, is_new] =
        entries_.try_emplace(leaving.endpoint_, entry{.leaving_ = leaving, .heard_at_ = now});
    if (is_new)
        return true;
    found->second.heard_at_ = now;
    if (!is_later_run(leaving, found->second.leaving_))
        return false;
    found->second.leaving_ = leaving;
    return true;
}

auto leaving_endpoints::includes(const state::registered_endpoint& endpoint) const -> bool
{
    const auto found = entries_.find(endpoint.id_);
    return found != entries_.end() && !is_later_run(endpoint, found->second.leaving_);
}

auto leaving_endpoints::forget_old(state::time_point now) -> void
{
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.heard_at_ > retention_time; });
}

} // namespace buckthorndale::coordination::forwarding

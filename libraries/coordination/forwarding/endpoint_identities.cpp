#include "coordination/forwarding/endpoint_identities.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Between two checks of one endpoint, however often it turns requests away.
constexpr auto min_check_interval = state::duration{std::chrono::seconds{2}};
/// The checks of a replaced endpoint become rarer up to this.
constexpr auto max_check_interval = state::duration{std::chrono::seconds{32}};

} // namespace

auto endpoint_identities::record_misdirected(const state::endpoint_id& expected,
                                             const state::endpoint_id& named, state::time_point now) -> void
{
    if (named == expected) {
        known_.erase(expected);
        return;
    }
    if (!named.is_empty()) {
        mark_replaced(expected, now);
        return;
    }
    known_[expected].is_doubtful_ = true;
}

auto endpoint_identities::record_checked(const state::endpoint_id& expected, const state::endpoint_id& named,
                                         state::time_point now) -> void
{
    const auto found = known_.find(expected);
    if (found == known_.end() || named.is_empty())
        return;
    if (named == expected)
        found->second.is_replaced_ = false;
    else
        mark_replaced(expected, now);
}

auto endpoint_identities::mark_replaced(const state::endpoint_id& id, state::time_point now) -> void
{
    auto& item = known_[id];
    if (item.is_replaced_)
        return;
    item.is_replaced_ = true;
    item.check_interval_ = min_check_interval;
    item.next_check_ = now + min_check_interval;
}

auto endpoint_identities::is_replaced(const state::endpoint_id& id) const -> bool
{
    const auto found = known_.find(id);
    return found != known_.end() && found->second.is_replaced_;
}

auto endpoint_identities::take_checks(state::time_point now) -> std::vector<state::endpoint_id>
{
    auto due = std::vector<state::endpoint_id>{};
    for (auto& [id, item] : known_) {
        if ((!item.is_doubtful_ && !item.is_replaced_) || now < item.next_check_)
            continue;
        due.push_back(id);
        item.is_doubtful_ = false;
        item.check_interval_ =
            item.is_replaced_ ? std::min(2 * item.check_interval_, max_check_interval) : min_check_interval;
        item.next_check_ = now + item.check_interval_;
    }
    return due;
}

} // namespace buckthorndale::coordination::forwarding

#include "coordination/suspicion/crash_suspects.hpp"

#include <algorithm>

namespace buckthorndale::coordination::suspicion {

auto crash_suspects::add_local(state::content_fingerprint content, const state::endpoint_id& endpoint,
                               state::time_point now) -> void
{
    add(content, endpoint, now).is_local_ = true;
}

auto crash_suspects::add_remote(state::content_fingerprint content, const state::endpoint_id& endpoint,
                                state::time_point now) -> void
{
    add(content, endpoint, now);
}

auto crash_suspects::add(state::content_fingerprint content, const state::endpoint_id& endpoint,
                         state::time_point now) -> entry&
{
    if (entries_.size() >= max_entries && !entries_.contains(content))
        drop_oldest();
    auto& known = entries_[content];
    known.last_crash_ = now;
    known.endpoints_.insert(endpoint);
    return known;
}

auto crash_suspects::is_retried_elsewhere(state::content_fingerprint content, state::time_point now) const
    -> bool
{
    const auto found = entries_.find(content);
    if (found == entries_.end() || found->second.is_local_)
        return false;
    return now - found->second.last_crash_ <= max_remote_retry_time;
}

auto crash_suspects::withdraw(state::content_fingerprint content, const state::endpoint_id& endpoint) -> void
{
    const auto found = entries_.find(content);
    if (found == entries_.end())
        return;
    found->second.endpoints_.erase(endpoint);
    if (found->second.endpoints_.empty())
        entries_.erase(found);
}

auto crash_suspects::clear(state::content_fingerprint content) -> void
{
    const auto found = entries_.find(content);
    if (found != entries_.end() && found->second.endpoints_.size() < max_crashes)
        entries_.erase(found);
}

auto crash_suspects::forget_old(state::time_point now) -> void
{
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.last_crash_ > retention; });
}

auto crash_suspects::crash_count(state::content_fingerprint content) const -> std::size_t
{
    const auto found = entries_.find(content);
    return found == entries_.end() ? 0 : found->second.endpoints_.size();
}

auto crash_suspects::drop_oldest() -> void
{
    const auto by_age = [](const auto& left, const auto& right) {
        return left.second.last_crash_ < right.second.last_crash_;
    };
    entries_.erase(std::ranges::min_element(entries_, by_age));
}

} // namespace buckthorndale::coordination::suspicion

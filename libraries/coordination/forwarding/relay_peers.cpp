#include "coordination/forwarding/relay_peers.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>

namespace buckthorndale::coordination::forwarding {

namespace {

/// An instance that is cut off itself, or full, stays so for a while.
constexpr auto leave_out_time = state::duration{std::chrono::seconds{1}};
/// Failures in the own data centre after which others are asked first.
constexpr auto max_failures_nearby = 2;

} // namespace

auto relay_peers::is_left_out(const relay_peer& peer, state::time_point now) const -> bool
{
    const auto found = left_out_until_.find(peer.id_);
    return found != left_out_until_.end() && found->second > now;
}

auto relay_peers::choose(const state::data_centre_id& own, const std::set<state::instance_id>& excluded,
                         state::time_point now, std::uint64_t random) const -> std::optional<relay_peer>
{
    const auto failures_nearby = std::ranges::count_if(
        peers_, [&](const auto& peer) { return peer.data_centre_ == own && is_left_out(peer, now); });
    const auto prefers_own = failures_nearby < max_failures_nearby;
    const auto rank = [&](const relay_peer& peer) {
        const auto is_own = peer.data_centre_ == own;
        return std::tuple{is_own != prefers_own, state::stable_hash(peer.id_.text(), random)};
    };
    const relay_peer* best = nullptr;
    for (const auto& peer : peers_) {
        if (excluded.contains(peer.id_) || is_left_out(peer, now))
            continue;
        if (best == nullptr || rank(peer) < rank(*best))
            best = &peer;
    }
    return best == nullptr ? std::nullopt : std::optional{*best};
}

auto relay_peers::record_failure(const state::instance_id& id, state::time_point now) -> void
{
    left_out_until_[id] = now + leave_out_time;
}

} // namespace buckthorndale::coordination::forwarding

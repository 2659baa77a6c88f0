#include "coordination/forwarding/endpoint_pool.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Failures in a row before an endpoint rests; single failures are part of a service's usual rate.
constexpr auto failures_before_rest = 3;
constexpr auto shortest_rest = state::duration{std::chrono::milliseconds{500}};
constexpr auto longest_rest = state::duration{std::chrono::seconds{4}};
constexpr auto rest_when_unreachable = state::duration{std::chrono::milliseconds{700}};
constexpr auto rest_when_full = state::duration{std::chrono::milliseconds{100}};

/// A subject may go to so many endpoints. Two choices already even out queues (Mitzenmacher, 2001); a hot
/// subject needs more.
constexpr auto homes_considered = std::size_t{4};
/// What is read in a second place keeps that endpoint from its other requests as well: at a price of 1 to 2,
/// more answers come late under full load than without any move (tests/coordination/placement_runs.cpp).
constexpr auto price_of_reading_again = 8;
/// An endpoint whose heads are later than the mean by this part of the objective is passed over.
constexpr auto pressure_headroom = 0.4;
/// Weight of a new head against those before.
constexpr auto newest_weight = 0.3;
/// What was heard of an endpoint loses weight with this time constant, since its queue changes.
constexpr auto pressure_lifetime = state::duration{std::chrono::seconds{3}};

} // namespace

auto endpoint_pool::update(const std::vector<state::registered_endpoint>& endpoints) -> void
{
    for (auto& [id, known] : views_)
        known.is_listed_ = false;
    for (const auto& endpoint : endpoints) {
        auto& known = views_[endpoint.id_];
        const auto is_reborn = known.endpoint_.incarnation_ != endpoint.incarnation_ ||
                               known.endpoint_.address_ != endpoint.address_;
        if (is_reborn) {
            known.has_said_leaving_ = false;
            known.failures_in_a_row_ = 0;
            known.rests_until_ = {};
        }
        known.endpoint_ = endpoint;
        known.is_listed_ = true;
    }
    drop_unused();
}

auto endpoint_pool::drop_unused() -> void
{
    std::erase_if(
        views_, [](const auto& item) { return !item.second.is_listed_ && item.second.own_in_flight_ == 0; });
}

auto endpoint_pool::candidates(const pool_query& query) const -> std::vector<const view*>
{
    auto found = std::vector<const view*>{};
    for (const auto& [id, known] : views_) {
        const auto may_work = known.is_listed_ && !known.has_said_leaving_ && !known.endpoint_.is_draining_;
        if (may_work && known.endpoint_.service_ == query.service_ &&
            query.version_.allows(known.endpoint_.version_))
            found.push_back(&known);
    }
    return found;
}

auto endpoint_pool::choose(const pool_query& query, state::time_point now, std::uint64_t random) const
    -> std::optional<pool_choice>
{
    const auto usable = candidates(query);
    if (usable.empty())
        return std::nullopt;
    if (!query.affinity_.empty())
        return soonest_home(usable, query, now);
    const auto* best = least_loaded(usable, query, now, random);
    const auto queue = queue_of(*best, query);
    return pool_choice{.endpoint_ = best->endpoint_.id_, .queue_ = queue, .expected_ = queue + query.work_};
}

auto endpoint_pool::queue_of(const view& known, const pool_query& query) -> state::duration
{
    const auto pending = known.own_pending_ + known.others_pending_;
    // Prompts are read one after the other; other requests run side by side.
    return query.affinity_.empty() ? pending / std::max(known.endpoint_.slots_, 1) : pending;
}

auto endpoint_pool::pressure_bound(const std::vector<const view*>& usable, state::time_point now) -> double
{
    const auto sum =
        std::accumulate(usable.begin(), usable.end(), 0.0, [now](double so_far, const view* known) {
            return so_far + pressure_of(*known, now);
        });
    return sum / static_cast<double>(usable.size()) + pressure_headroom;
}

auto endpoint_pool::least_loaded(const std::vector<const view*>& usable, const pool_query& query,
                                 state::time_point now, std::uint64_t random) -> const view*
{
    const auto bound = pressure_bound(usable, now);
    // An endpoint that was tried before, or rests, is better than none, in this order.
    const auto rank = [&](const view* known) {
        const auto& id = known->endpoint_.id_;
        const auto was_tried = query.excluded_.contains(id);
        const auto rests = known->rests_until_ > now;
        const auto is_far = known->endpoint_.data_centre_ != query.data_centre_;
        const auto is_slow = pressure_of(*known, now) > bound;
        const auto load = known->own_in_flight_ + (is_far ? 1 : 0) + (is_slow ? 1 : 0);
        return std::tuple{was_tried, rests, load, state::stable_hash(id.text(), random)};
    };
    return *std::ranges::min_element(usable, {}, rank);
}

auto endpoint_pool::soonest_home(const std::vector<const view*>& usable, const pool_query& query,
                                 state::time_point now) -> pool_choice
{
    // Tried before, resting, slow, and then by a hash that is the same at every router.
    using fitness = std::tuple<bool, bool, bool>;

    struct candidate {
        fitness fitness_;
        std::uint64_t place_{0};
        const view* view_{nullptr};
    };

    const auto bound = pressure_bound(usable, now);
    const auto affinity = state::stable_hash(query.affinity_);
    auto homes = std::vector<candidate>{};
    homes.reserve(usable.size());
    for (const auto* known : usable) {
        const auto& id = known->endpoint_.id_;
        homes.push_back({.fitness_ = {query.excluded_.contains(id), known->rests_until_ > now,
                                      pressure_of(*known, now) > bound},
                         .place_ = state::stable_hash(id.text(), affinity),
                         .view_ = known});
    }
    const auto rank = [](const candidate& item) { return std::pair{item.fitness_, item.place_}; };
    const auto considered = std::min(homes.size(), homes_considered);
    std::ranges::partial_sort(homes, homes.begin() + static_cast<std::ptrdiff_t>(considered), {}, rank);
    auto best = pool_choice{};
    auto least_cost = state::duration::max();
    for (auto place = std::size_t{0}; place < considered; ++place) {
        const auto& home = homes[place];
        if (home.fitness_ != homes.front().fitness_)
            break;
        const auto queue = queue_of(*home.view_, query);
        const auto read_again = place == 0 ? state::duration::zero() : query.shared_work_;
        // Each place further is a place more where the same is read and kept.
        const auto price = price_of_reading_again * (1 << place) / 2;
        const auto cost = queue + read_again * price;
        if (cost >= least_cost)
            continue;
        least_cost = cost;
        best = {.endpoint_ = home.view_->endpoint_.id_,
                .queue_ = queue,
                .expected_ = queue + query.work_ + read_again};
    }
    return best;
}

auto endpoint_pool::find(const state::endpoint_id& id) const -> const state::registered_endpoint*
{
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second.endpoint_;
}

auto endpoint_pool::versions_of(const state::service_name& service) const -> std::vector<state::version_name>
{
    auto oldest = std::map<state::version_name, std::uint64_t>{};
    for (const auto* known : candidates({.service_ = service})) {
        const auto& endpoint = known->endpoint_;
        const auto [found, is_new] = oldest.try_emplace(endpoint.version_, endpoint.registered_at_);
        if (!is_new)
            found->second = std::min(found->second, endpoint.registered_at_);
    }
    auto versions = std::vector<state::version_name>{};
    for (const auto& [version, registered_at] : oldest)
        versions.push_back(version);
    std::ranges::sort(versions, {}, [&](const auto& version) { return oldest.at(version); });
    return versions;
}

auto endpoint_pool::begin(const state::endpoint_id& id, state::duration work) -> void
{
    auto& known = views_.at(id);
    ++known.own_in_flight_;
    known.own_pending_ += work;
}

auto endpoint_pool::settle(const state::endpoint_id& id, state::duration work) -> void
{
    auto* known = find_view(id);
    verify(known != nullptr, state::guarantee::internal_consistency, "an endpoint in use must be kept");
    known->own_pending_ -= work;
    verify(known->own_pending_ >= state::duration::zero(), state::guarantee::internal_consistency,
           "work that waits must not be negative");
}

auto endpoint_pool::own_work() const -> std::vector<endpoint_work>
{
    auto work = std::vector<endpoint_work>{};
    for (const auto& [id, known] : views_) {
        if (known.own_pending_ > state::duration::zero())
            work.push_back({.endpoint_ = id, .pending_ = known.own_pending_});
    }
    return work;
}

auto endpoint_pool::set_others(const std::vector<endpoint_work>& work) -> void
{
    for (auto& [id, known] : views_)
        known.others_pending_ = state::duration::zero();
    for (const auto& item : work) {
        if (auto* known = find_view(item.endpoint_))
            known->others_pending_ = item.pending_;
    }
}

auto endpoint_pool::end(const state::endpoint_id& id) -> void
{
    auto* known = find_view(id);
    verify(known != nullptr, state::guarantee::internal_consistency, "an endpoint in use must be kept");
    --known->own_in_flight_;
    verify(known->own_in_flight_ >= 0, state::guarantee::internal_consistency,
           "requests in flight must not be negative");
    drop_unused();
}

auto endpoint_pool::pressure_of(const view& known, state::time_point now) -> double
{
    const auto age = std::chrono::duration<double>(now - known.heard_at_);
    return known.pressure_ * std::exp(-age / std::chrono::duration<double>(pressure_lifetime));
}

auto endpoint_pool::record_head(const state::endpoint_id& id, double part, state::time_point now) -> void
{
    auto* known = find_view(id);
    if (known == nullptr)
        return;
    const auto before = pressure_of(*known, now);
    known->pressure_ = before + newest_weight * (part - before);
    known->heard_at_ = now;
}

auto endpoint_pool::mark_succeeded(const state::endpoint_id& id) -> void
{
    if (auto* known = find_view(id)) {
        known->failures_in_a_row_ = 0;
        known->rests_until_ = {};
    }
}

auto endpoint_pool::mark_failed(const state::endpoint_id& id, state::time_point now) -> void
{
    auto* known = find_view(id);
    if (known == nullptr)
        return;
    const auto over = ++known->failures_in_a_row_ - failures_before_rest;
    if (over < 0)
        return;
    const auto rest = shortest_rest * (1 << std::min(over, 8));
    known->rests_until_ = now + std::min(rest, longest_rest);
}

auto endpoint_pool::mark_unreachable(const state::endpoint_id& id, state::time_point now) -> void
{
    if (auto* known = find_view(id)) {
        ++known->failures_in_a_row_;
        const auto rest = rest_when_unreachable * (1 << std::min(known->failures_in_a_row_ - 1, 4));
        known->rests_until_ = now + std::min(rest, longest_rest);
    }
}

auto endpoint_pool::mark_full(const state::endpoint_id& id, state::time_point now) -> void
{
    if (auto* known = find_view(id))
        known->rests_until_ = std::max(known->rests_until_, now + rest_when_full);
}

auto endpoint_pool::mark_leaving(const state::endpoint_id& id) -> void
{
    if (auto* known = find_view(id))
        known->has_said_leaving_ = true;
}

auto endpoint_pool::in_flight(const state::service_name& service) const -> std::int32_t
{
    auto sum = std::int32_t{0};
    for (const auto* known : candidates({.service_ = service}))
        sum += known->own_in_flight_;
    return sum;
}

auto endpoint_pool::find_view(const state::endpoint_id& id) -> view*
{
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

} // namespace buckthorndale::coordination::forwarding

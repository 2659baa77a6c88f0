#include "coordination/forwarding/endpoint_pool.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Consecutive failures before an endpoint is ejected. Single failures are within a service's normal error
/// rate.
constexpr auto failures_before_ejection = 3;
constexpr auto min_ejection_time = state::duration{std::chrono::milliseconds{500}};
constexpr auto max_ejection_time = state::duration{std::chrono::seconds{4}};
constexpr auto unreachable_ejection_time = state::duration{std::chrono::milliseconds{700}};
/// An endpoint that is back is found after this at the latest.
constexpr auto max_unreachable_time = state::duration{std::chrono::seconds{2}};
/// How many endpoints of a service must be lost, if it has as many, before the own links are suspected. One
/// endpoint may fail alone.
constexpr auto min_lost = std::size_t{2};
constexpr auto max_lost = std::size_t{3};
/// Endpoints that are probed at a time.
constexpr auto max_probes = std::size_t{3};
/// After the loss of one endpoint, so many others of its service are probed, if they were not just reached.
constexpr auto max_sibling_probes = std::size_t{6};
constexpr auto check_interval = state::duration{std::chrono::seconds{1}};
constexpr auto sibling_probe_interval = state::duration{std::chrono::milliseconds{20}};
/// Endpoints that are lost together are found to be so within this time.
constexpr auto common_loss_time = state::duration{std::chrono::milliseconds{80}};
constexpr auto full_ejection_time = state::duration{std::chrono::milliseconds{100}};

/// The number of endpoints that requests with one affinity key may be spread over. Two choices already
/// balance queues (Mitzenmacher, 2001); a hot key needs more.
constexpr auto max_affinity_candidates = std::size_t{4};
/// Processing a prefix on a second endpoint also delays the other requests there. With a factor of 1 to 2,
/// more answers are late under full load than if requests never left their preferred endpoint
/// (tests/coordination/placement_runs.cpp).
constexpr auto cache_miss_cost_factor = 8;
/// An endpoint whose time to first byte exceeds the mean by this fraction of the objective ranks behind the
/// others.
constexpr auto objective_ratio_margin = 0.4;
/// Requests that are in flight end at any time.
constexpr auto room_wait = state::duration{std::chrono::milliseconds{10}};
/// Weight of a new sample in the moving average.
constexpr auto sample_weight = 0.3;
/// Time constant with which old samples decay, since the endpoint's queue changes.
constexpr auto objective_ratio_decay_time = state::duration{std::chrono::seconds{3}};

/// Orders endpoints for an affinity key, lowest first, so that each gets its share of the keys and a change
/// of one share moves keys from or to that endpoint alone (weighted rendezvous hashing).
auto affinity_order(std::uint64_t hash, double share) -> double
{
    const auto uniform = static_cast<double>(hash >> 11U) * 0x1.0p-53;
    return share == 1.0 ? uniform : 1.0 - std::pow(1.0 - uniform, 1.0 / share);
}

} // namespace

auto endpoint_pool::update(const std::vector<state::registered_endpoint>& endpoints) -> void
{
    for (auto& [id, known] : entries_)
        known.is_listed_ = false;
    for (const auto& endpoint : endpoints) {
        auto& known = entries_[endpoint.id_];
        const auto is_restarted = known.endpoint_.incarnation_ != endpoint.incarnation_ ||
                                  known.endpoint_.address_ != endpoint.address_;
        if (is_restarted) {
            identities_.forget(endpoint.id_);
            known.consecutive_failures_ = 0;
            known.ejected_until_ = {};
            known.is_unreachable_ = false;
        }
        known.endpoint_ = endpoint;
        known.is_listed_ = true;
    }
    drop_unused();
}

auto endpoint_pool::drop_unused() -> void
{
    std::erase_if(entries_, [this](const auto& item) {
        const auto is_unused = !item.second.is_listed_ && item.second.own_in_flight_ == 0;
        if (is_unused)
            identities_.forget(item.first);
        return is_unused;
    });
}

auto endpoint_pool::is_candidate(const entry& known, const pool_query& query) const -> bool
{
    const auto is_available = known.is_listed_ && !is_emptied(known.endpoint_) &&
                              !identities_.is_replaced(known.endpoint_.id_) &&
                              !known.endpoint_.is_draining_ && !leaving_.includes(known.endpoint_);
    return is_available && known.endpoint_.service_ == query.service_ &&
           query.version_.allows(known.endpoint_.version_);
}

auto endpoint_pool::candidates(const pool_query& query) const -> std::vector<const entry*>
{
    auto found = std::vector<const entry*>{};
    for (const auto& [id, known] : entries_) {
        if (is_candidate(known, query))
            found.push_back(&known);
    }
    return found;
}

auto endpoint_pool::is_ejected(const state::endpoint_id& id, state::time_point now) const -> bool
{
    const auto found = entries_.find(id);
    return found != entries_.end() && is_ejected(found->second, now);
}

auto endpoint_pool::is_ejected(const entry& known, state::time_point now) -> bool
{
    return known.is_unreachable_ || known.ejected_until_ > now;
}

auto endpoint_pool::choose(const pool_query& query, state::time_point now, std::uint64_t random) const
    -> std::optional<pool_choice>
{
    auto usable = candidates(query);
    std::erase_if(usable, [this, now](const entry* known) { return next_request_at(*known, now) > now; });
    if (usable.empty())
        return std::nullopt;
    if (const auto* due = due_for_check(usable, query, now))
        return make_choice(*due, query, query.shared_work_);
    if (!query.affinity_.empty())
        return choose_by_affinity(usable, query, now);
    return make_choice(*least_loaded(usable, query, now, random), query, state::duration::zero());
}

auto endpoint_pool::make_choice(const entry& known, const pool_query& query,
                                state::duration cache_miss_time) const -> pool_choice
{
    const auto& id = known.endpoint_.id_;
    const auto pace = paces_.pace(id);
    const auto at_pace = [pace](state::duration time) {
        return std::chrono::duration_cast<state::duration>(time * pace);
    };
    const auto queue = queueing_delay(known, query);
    const auto work = query.work_ + cache_miss_time;
    return {.endpoint_ = id, .queue_ = at_pace(queue), .expected_ = at_pace(queue + work), .work_ = work};
}

auto endpoint_pool::next_request_at(const entry& known, state::time_point now) const -> state::time_point
{
    if (!brittle_.has_room(known.endpoint_, known.own_in_flight_))
        return now + room_wait;
    return std::max(
        {pauses_.next_request_at(known.endpoint_.id_, now), limits_.next_request_at(known.endpoint_, now),
         brittle_.next_request_at(known.endpoint_, now), cold_.next_request_at(known.endpoint_, now)});
}

auto endpoint_pool::due_for_check(const std::vector<const entry*>& usable, const pool_query& query,
                                  state::time_point now) const -> const entry*
{
    if (limits_.is_empty())
        return nullptr;
    const auto found = std::ranges::find_if(usable, [&](const entry* known) {
        return !query.excluded_.contains(known->endpoint_.id_) && !is_ejected(*known, now) &&
               limits_.is_due_for_check(known->endpoint_, now);
    });
    return found == usable.end() ? nullptr : *found;
}

auto endpoint_pool::next_turn_at(const pool_query& query, state::time_point now) const
    -> std::optional<state::time_point>
{
    auto earliest = std::optional<state::time_point>{};
    for (const auto& [id, known] : entries_) {
        if (!is_candidate(known, query))
            continue;
        const auto time = std::max(
            {pauses_.next_request_at(id, now), limits_.next_turn_at(known.endpoint_, now),
             brittle_.next_request_at(known.endpoint_, now), cold_.next_turn_at(known.endpoint_, now)});
        earliest = std::min(earliest.value_or(time), time);
    }
    return earliest;
}

auto endpoint_pool::record_unmet(const pool_query& query, state::time_point now) -> void
{
    for (const auto& [id, known] : entries_) {
        if (!is_candidate(known, query))
            continue;
        if (limits_.next_request_at(known.endpoint_, now) > now)
            limits_.record_unmet(known.endpoint_, now);
        if (cold_.next_request_at(known.endpoint_, now) > now)
            cold_.turns().record_unmet(known.endpoint_, now);
    }
}

auto endpoint_pool::next_request_at(const pool_query& query, state::time_point now) const
    -> std::optional<state::time_point>
{
    auto earliest = std::optional<state::time_point>{};
    for (const auto& [id, known] : entries_) {
        if (!is_candidate(known, query))
            continue;
        const auto time = next_request_at(known, now);
        if (time <= now)
            return now;
        earliest = std::min(earliest.value_or(time), time);
    }
    return earliest;
}

auto endpoint_pool::queueing_delay(const entry& known, const pool_query& query) -> state::duration
{
    const auto pending = known.own_pending_ + known.remote_pending_;
    // An endpoint processes prompts one after the other, and other requests concurrently.
    return query.affinity_.empty() ? pending / std::max(known.endpoint_.slots_, 1) : pending;
}

auto endpoint_pool::max_objective_ratio(const std::vector<const entry*>& usable, state::time_point now)
    -> double
{
    const auto sum =
        std::accumulate(usable.begin(), usable.end(), 0.0, [now](double so_far, const entry* known) {
            return so_far + decayed_objective_ratio(*known, now);
        });
    return sum / static_cast<double>(usable.size()) + objective_ratio_margin;
}

auto endpoint_pool::least_loaded(const std::vector<const entry*>& usable, const pool_query& query,
                                 state::time_point now, std::uint64_t random) const -> const entry*
{
    const auto bound = max_objective_ratio(usable, now);
    // Endpoints that were tried before or are ejected are used only when there is no other; ejected ones are
    // preferred to tried ones.
    const auto rank = [&](const entry* known) {
        const auto& id = known->endpoint_.id_;
        const auto was_tried = query.excluded_.contains(id);
        const auto is_left_out = is_ejected(*known, now);
        const auto is_far = known->endpoint_.data_centre_ != query.data_centre_;
        const auto is_slow = decayed_objective_ratio(*known, now) > bound;
        // An endpoint that takes longer is as loaded with fewer requests.
        const auto load =
            (known->own_in_flight_ + (is_far ? 1 : 0) + (is_slow ? 1 : 0) + 1) * paces_.pace(id);
        return std::tuple{was_tried, is_left_out, is_avoided(*known, query, now), load,
                          state::stable_hash(id.text(), random)};
    };
    return *std::ranges::min_element(usable, {}, rank);
}

auto endpoint_pool::choose_by_affinity(const std::vector<const entry*>& usable, const pool_query& query,
                                       state::time_point now) const -> pool_choice
{
    // Tried before, ejected, cold, slow, far. Ties are broken by a hash that is the same on every router.
    using penalties = std::tuple<bool, bool, bool, bool, bool>;

    struct candidate {
        penalties penalties_;
        double order_{0};
        const entry* entry_{nullptr};
    };

    const auto bound = max_objective_ratio(usable, now);
    const auto affinity = state::stable_hash(query.affinity_);
    auto ranked = std::vector<candidate>{};
    ranked.reserve(usable.size());
    for (const auto* known : usable) {
        const auto& id = known->endpoint_.id_;
        ranked.push_back(
            {.penalties_ = {query.excluded_.contains(id), is_ejected(*known, now),
                            is_avoided(*known, query, now), decayed_objective_ratio(*known, now) > bound,
                            query.stays_in_data_centre_ &&
                                known->endpoint_.data_centre_ != query.data_centre_},
             .order_ = affinity_order(state::stable_hash(id.text(), affinity), paces_.share(id)),
             .entry_ = known});
    }
    const auto rank = [](const candidate& item) { return std::pair{item.penalties_, item.order_}; };
    const auto candidate_count = std::min(ranked.size(), max_affinity_candidates);
    std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(candidate_count), {},
                              rank);
    auto best = pool_choice{};
    auto least_cost = state::duration::max();
    for (auto position = std::size_t{0}; position < candidate_count; ++position) {
        const auto& ranked_item = ranked[position];
        if (ranked_item.penalties_ != ranked.front().penalties_)
            break;
        const auto cache_miss_time = position == 0 ? state::duration::zero() : query.shared_work_;
        const auto choice = make_choice(*ranked_item.entry_, query, cache_miss_time);
        // Each further position is one more endpoint that processes and caches the same prefix.
        const auto cost_factor = cache_miss_cost_factor * (1 << position) / 2;
        // Beyond what an average endpoint needs for the request alone.
        const auto cost = choice.expected_ - choice.work_ + cache_miss_time * cost_factor;
        if (cost >= least_cost)
            continue;
        least_cost = cost;
        best = choice;
    }
    return best;
}

auto endpoint_pool::find(const state::endpoint_id& id) const -> const state::registered_endpoint*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.endpoint_;
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

auto endpoint_pool::begin(const state::endpoint_id& id, state::duration work, state::time_point now) -> void
{
    auto& known = entries_.at(id);
    pauses_.record_sent(id, now);
    limits_.record_sent(known.endpoint_, now);
    brittle_.record_sent(known.endpoint_, now);
    cold_.record_sent(known.endpoint_, now);
    ++known.own_in_flight_;
    known.own_pending_ += work;
}

auto endpoint_pool::settle(const state::endpoint_id& id, state::duration work) -> void
{
    auto* known = find_entry(id);
    verify(known != nullptr, state::guarantee::internal_consistency, "an endpoint in use must be kept");
    known->own_pending_ -= work;
    verify(known->own_pending_ >= state::duration::zero(), state::guarantee::internal_consistency,
           "the work queued at an endpoint must not be negative");
}

auto endpoint_pool::own_work() const -> std::vector<endpoint_work>
{
    auto work = std::vector<endpoint_work>{};
    for (const auto& [id, known] : entries_) {
        if (known.own_pending_ > state::duration::zero())
            work.push_back({.endpoint_ = id, .pending_ = known.own_pending_});
    }
    return work;
}

auto endpoint_pool::set_remote_work(const std::vector<endpoint_work>& work) -> void
{
    for (auto& [id, known] : entries_)
        known.remote_pending_ = state::duration::zero();
    for (const auto& item : work) {
        if (auto* known = find_entry(item.endpoint_))
            known->remote_pending_ = item.pending_;
    }
}

auto endpoint_pool::end(const state::endpoint_id& id) -> void
{
    auto* known = find_entry(id);
    verify(known != nullptr, state::guarantee::internal_consistency, "an endpoint in use must be kept");
    --known->own_in_flight_;
    verify(known->own_in_flight_ >= 0, state::guarantee::internal_consistency,
           "requests in flight must not be negative");
    drop_unused();
}

auto endpoint_pool::decayed_objective_ratio(const entry& known, state::time_point now) -> double
{
    const auto age = std::chrono::duration<double>(now - known.last_sample_at_);
    return known.objective_ratio_ *
           std::exp(-age / std::chrono::duration<double>(objective_ratio_decay_time));
}

auto endpoint_pool::record_first_byte(const state::endpoint_id& id, double objective_ratio,
                                      state::time_point now) -> void
{
    auto* known = find_entry(id);
    if (known == nullptr)
        return;
    const auto previous = decayed_objective_ratio(*known, now);
    known->objective_ratio_ = previous + sample_weight * (objective_ratio - previous);
    known->last_sample_at_ = now;
}

auto endpoint_pool::mark_succeeded(const state::endpoint_id& id) -> void
{
    if (auto* known = find_entry(id)) {
        known->consecutive_failures_ = 0;
        known->ejected_until_ = {};
    }
}

auto endpoint_pool::mark_failed(const state::endpoint_id& id, state::time_point now) -> void
{
    auto* known = find_entry(id);
    if (known == nullptr)
        return;
    const auto excess_failures = ++known->consecutive_failures_ - failures_before_ejection;
    if (excess_failures < 0)
        return;
    const auto ejection_time = min_ejection_time * (1 << std::min(excess_failures, 8));
    known->ejected_until_ = now + std::min(ejection_time, max_ejection_time);
}

auto endpoint_pool::mark_unreachable(const state::endpoint_id& id, state::time_point now) -> void
{
    auto* known = find_entry(id);
    if (known == nullptr)
        return;
    ++known->consecutive_failures_;
    const auto ejection_time =
        unreachable_ejection_time * (1 << std::min(known->consecutive_failures_ - 1, 4));
    known->ejected_until_ = now + std::min(ejection_time, max_unreachable_time);
    known->checked_at_ = now;
    const auto& service = known->endpoint_.service_;
    lost_[service].insert(id);
    if (std::exchange(known->is_unreachable_, true))
        return;
    known->lost_at_ = now;
    sibling_probes_[service] = {.left_ = max_sibling_probes, .data_centre_ = known->endpoint_.data_centre_};
}

auto endpoint_pool::mark_reached(const state::endpoint_id& id, state::time_point now) -> void
{
    auto* known = find_entry(id);
    if (known == nullptr)
        return;
    known->checked_at_ = now;
    known->heard_at_ = now;
    known->must_be_checked_ = false;
    services_heard_at_[known->endpoint_.service_] = now;
    if (std::exchange(known->is_unreachable_, false)) {
        known->consecutive_failures_ = 0;
        known->ejected_until_ = {};
    }
    if (!is_cut_off(known->endpoint_.service_)) {
        lost_.erase(known->endpoint_.service_);
        return;
    }
    lost_.erase(known->endpoint_.service_);
    // The links are back, so the other endpoints are tried at once.
    for (auto& [other, item] : entries_) {
        if (item.is_unreachable_ && item.endpoint_.service_ == known->endpoint_.service_)
            item.ejected_until_ = now;
    }
}

auto endpoint_pool::is_unreachable(const state::endpoint_id& id) const -> bool
{
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.is_unreachable_;
}

auto endpoint_pool::check_soon(const state::endpoint_id& id) -> void
{
    if (auto* known = find_entry(id))
        known->must_be_checked_ = true;
}

auto endpoint_pool::check_if_due(const state::endpoint_id& id, state::time_point now) -> void
{
    auto* known = find_entry(id);
    if (known != nullptr && !known->is_unreachable_ && now - known->probed_at_ > check_interval)
        known->must_be_checked_ = true;
}

auto endpoint_pool::heard_at(const state::endpoint_id& id) const -> state::time_point
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? state::time_point{} : found->second.heard_at_;
}

auto endpoint_pool::heard_at(const state::service_name& service) const -> state::time_point
{
    const auto found = services_heard_at_.find(service);
    return found == services_heard_at_.end() ? state::time_point{} : found->second;
}

auto endpoint_pool::services() const -> std::set<state::service_name>
{
    auto services = std::set<state::service_name>{};
    for (const auto& [id, known] : entries_)
        services.insert(known.endpoint_.service_);
    return services;
}

auto endpoint_pool::is_cut_off(const state::service_name& service) const -> bool
{
    const auto found = lost_.find(service);
    if (found == lost_.end())
        return false;
    const auto is_listed = [&](const auto& item) {
        return item.second.is_listed_ && item.second.endpoint_.service_ == service;
    };
    const auto listed = static_cast<std::size_t>(std::ranges::count_if(entries_, is_listed));
    return found->second.size() >= std::clamp(listed, min_lost, max_lost);
}

auto endpoint_pool::lost_beside(const state::endpoint_id& id, state::time_point failed_at) const
    -> std::ptrdiff_t
{
    return std::ranges::count_if(entries_, [&](const auto& item) {
        const auto& known = item.second;
        return item.first != id && known.is_unreachable_ &&
               std::chrono::abs(known.lost_at_ - failed_at) <= common_loss_time;
    });
}

auto endpoint_pool::take_probes(state::time_point now, std::uint64_t random)
    -> std::vector<state::endpoint_id>
{
    auto probes = std::vector<state::endpoint_id>{};
    auto siblings = std::vector<entry*>{};
    for (auto& [id, known] : entries_) {
        if (!known.is_listed_ || is_emptied(known.endpoint_) || probes.size() >= max_probes)
            continue;
        if (known.is_unreachable_) {
            if (known.ejected_until_ > now)
                continue;
            probes.push_back(id);
            known.checked_at_ = now;
            known.probed_at_ = now;
            known.ejected_until_ = now + unreachable_ejection_time;
            continue;
        }
        if (std::exchange(known.must_be_checked_, false)) {
            probes.push_back(id);
            known.checked_at_ = now;
            known.probed_at_ = now;
            continue;
        }
        if (sibling_probes_.contains(known.endpoint_.service_) &&
            now - known.checked_at_ > sibling_probe_interval)
            siblings.push_back(&known);
    }
    sort_siblings(siblings, random);
    for (auto* known : siblings) {
        auto& left = sibling_probes_[known->endpoint_.service_].left_;
        if (probes.size() >= max_probes)
            return probes;
        if (left == 0)
            continue;
        --left;
        known->checked_at_ = now;
        known->probed_at_ = now;
        probes.push_back(known->endpoint_.id_);
    }
    // Those that are left have been reached a moment ago.
    sibling_probes_.clear();
    return probes;
}

auto endpoint_pool::sort_siblings(std::vector<entry*>& siblings, std::uint64_t random) const -> void
{
    std::ranges::sort(siblings, {}, [random](const entry* known) {
        return state::stable_hash(known->endpoint_.id_.text(), random);
    });
    auto positions = std::array<std::size_t, 2>{};
    auto ranked = std::vector<std::pair<std::size_t, entry*>>{};
    for (auto* known : siblings) {
        const auto& lost = sibling_probes_.at(known->endpoint_.service_).data_centre_;
        const auto group = known->endpoint_.data_centre_ == lost ? 0U : 1U;
        ranked.emplace_back(2 * positions.at(group)++ + group, known);
    }
    std::ranges::sort(ranked);
    std::ranges::transform(ranked, siblings.begin(), &std::pair<std::size_t, entry*>::second);
}

auto endpoint_pool::mark_full(const state::endpoint_id& id, state::time_point now) -> void
{
    if (auto* known = find_entry(id))
        known->ejected_until_ = std::max(known->ejected_until_, now + full_ejection_time);
}

auto endpoint_pool::mark_leaving(const state::endpoint_id& id, state::time_point now)
    -> std::optional<leaving_endpoint>
{
    const auto* known = find(id);
    if (known == nullptr)
        return std::nullopt;
    const auto leaving = leaving_endpoint{
        .endpoint_ = id, .incarnation_ = known->incarnation_, .registered_at_ = known->registered_at_};
    return leaving_.add(leaving, now) ? std::optional{leaving} : std::nullopt;
}

auto endpoint_pool::permits_of(const state::endpoint_id& id) -> endpoint_limits&
{
    const auto* known = find(id);
    return known != nullptr && !limits_.is_limited(*known) && !cold_.is_empty() ? cold_.turns() : limits_;
}

auto endpoint_pool::endpoints_in(const state::data_centre_id& data_centre) const
    -> std::vector<const state::registered_endpoint*>
{
    auto found = std::vector<const state::registered_endpoint*>{};
    for (const auto& [id, known] : entries_) {
        if (known.is_listed_ && known.endpoint_.data_centre_ == data_centre)
            found.push_back(&known.endpoint_);
    }
    return found;
}

auto endpoint_pool::in_flight_at_emptied() const -> std::size_t
{
    if (emptied_.empty())
        return 0;
    auto sum = std::size_t{0};
    for (const auto& [id, known] : entries_) {
        if (is_emptied(known.endpoint_))
            sum += static_cast<std::size_t>(known.own_in_flight_);
    }
    return sum;
}

auto endpoint_pool::in_flight(const state::service_name& service) const -> std::int32_t
{
    auto sum = std::int32_t{0};
    for (const auto* known : candidates({.service_ = service}))
        sum += known->own_in_flight_;
    return sum;
}

auto endpoint_pool::find_entry(const state::endpoint_id& id) -> entry*
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

} // namespace buckthorndale::coordination::forwarding

#include "coordination/placement/endpoint_table.hpp"

#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <numeric>

namespace buckthorndale::coordination::placement {

namespace {

constexpr auto min_ejection_time = state::duration{std::chrono::milliseconds{250}};
constexpr auto max_ejection_time = state::duration{std::chrono::seconds{8}};
constexpr auto min_full_backoff = state::duration{std::chrono::milliseconds{20}};
constexpr auto max_full_backoff = state::duration{std::chrono::milliseconds{500}};
constexpr auto max_recent_prefixes = std::size_t{256};
/// The weight of a load report falls linearly to zero over this time.
constexpr auto report_lifetime = state::duration{std::chrono::seconds{3}};
/// The fraction of its slots that an endpoint may queue in addition to the running requests.
constexpr auto queue_allowance = 0.25;
/// Prefix affinity applies while the load is at most the mean plus this fraction of the slots.
constexpr auto affinity_headroom = 0.25;

auto offers(const state::endpoint& endpoint, const placement_query& query) -> bool
{
    if (endpoint.kind_ != query.kind_)
        return false;
    if (query.kind_ == state::endpoint_kind::service)
        return endpoint.service_ == query.service_;
    return std::ranges::find(endpoint.versions_, query.version_) != endpoint.versions_.end();
}

auto has_prefix(const endpoint_view& view, state::content_fingerprint prefix) -> bool
{
    return std::ranges::find(view.recent_prefixes_, prefix) != view.recent_prefixes_.end();
}

auto ejection_time_after(std::int32_t failures_in_a_row) -> state::duration
{
    constexpr auto max_doublings = 5;
    const auto doublings = std::min(failures_in_a_row - 1, max_doublings);
    return std::min(min_ejection_time * (1 << doublings), max_ejection_time);
}

auto backoff_after_declines(std::int32_t declines_in_a_row) -> state::duration
{
    constexpr auto max_doublings = 5;
    const auto doublings = std::min(declines_in_a_row - 1, max_doublings);
    return std::min(min_full_backoff * (1 << doublings), max_full_backoff);
}

/// The requests that a router dispatches to an endpoint at once: its slots and a few that queue there.
auto max_assigned_requests(const endpoint_view& view) -> double
{
    return (1.0 + queue_allowance) * std::max(view.endpoint_.slots_, 1);
}

} // namespace

auto endpoint_table::update(const std::vector<state::endpoint>& endpoints, state::time_point now) -> void
{
    for (auto& [id, view] : views_)
        view.is_listed_ = false;
    for (const auto& endpoint : endpoints) {
        auto& view = views_[endpoint.id_];
        // A new address means that the endpoint was restarted: its observed state no longer applies.
        if (view.endpoint_.address_ != endpoint.address_) {
            view.has_announced_leaving_ = false;
            view.failures_in_a_row_ = 0;
            view.ejected_until_ = now;
            view.recent_prefixes_.clear();
        }
        if (view.endpoint_.versions_ != endpoint.versions_)
            view.missing_versions_.clear();
        view.endpoint_ = endpoint;
        view.is_listed_ = true;
    }
    std::erase_if(
        views_, [](const auto& item) { return !item.second.is_listed_ && item.second.own_in_flight_ == 0; });
}

auto endpoint_table::report_load(const state::endpoint_id& id, std::int32_t running, state::time_point now)
    -> void
{
    const auto found = views_.find(id);
    if (found == views_.end())
        return;
    found->second.reported_running_ = running;
    found->second.own_in_flight_at_report_ = found->second.own_in_flight_;
    found->second.reported_at_ = now;
}

auto endpoint_table::mark_leaving(const state::endpoint_id& id) -> void
{
    const auto found = views_.find(id);
    if (found != views_.end())
        found->second.has_announced_leaving_ = true;
}

auto endpoint_table::mark_failed(const state::endpoint_id& id, state::time_point now) -> void
{
    const auto found = views_.find(id);
    if (found == views_.end())
        return;
    auto& view = found->second;
    ++view.failures_in_a_row_;
    view.ejected_until_ = std::max(view.ejected_until_, now + ejection_time_after(view.failures_in_a_row_));
    view.recent_prefixes_.clear();
}

auto endpoint_table::mark_full(const state::endpoint_id& id, state::time_point now) -> void
{
    const auto found = views_.find(id);
    if (found == views_.end())
        return;
    auto& view = found->second;
    // It accepted the requests of this router that it holds; the window grows by one with each success.
    view.window_ = std::max(view.own_in_flight_, 1);
    // Requests that were in flight together count as a single decline.
    if (now < view.ejected_until_)
        return;
    ++view.declines_in_a_row_;
    view.ejected_until_ = now + backoff_after_declines(view.declines_in_a_row_);
}

auto endpoint_table::mark_version_missing(const state::endpoint_id& id, const state::version_key& version)
    -> void
{
    const auto found = views_.find(id);
    if (found != views_.end())
        found->second.missing_versions_.insert(version);
}

auto endpoint_table::begin(const state::endpoint_id& id, const placement_query& query) -> void
{
    auto& view = views_.at(id);
    ++view.own_in_flight_;
    if (query.is_suspect_)
        ++view.suspects_in_flight_;
    if (query.kind_ != state::endpoint_kind::engine || has_prefix(view, query.prefix_))
        return;
    view.recent_prefixes_.push_back(query.prefix_);
    if (view.recent_prefixes_.size() > max_recent_prefixes)
        view.recent_prefixes_.pop_front();
}

auto endpoint_table::end(const state::endpoint_id& id, bool was_suspect) -> void
{
    const auto found = views_.find(id);
    verify(found != views_.end(), state::guarantee::internal_consistency,
           "an endpoint with requests in flight must stay in the table");
    auto& view = found->second;
    --view.own_in_flight_;
    if (was_suspect)
        --view.suspects_in_flight_;
    verify(view.own_in_flight_ >= 0, state::guarantee::internal_consistency,
           "the number of requests in flight must not be negative");
}

auto endpoint_table::mark_succeeded(const state::endpoint_id& id) -> void
{
    const auto found = views_.find(id);
    if (found == views_.end())
        return;
    auto& view = found->second;
    view.failures_in_a_row_ = 0;
    view.declines_in_a_row_ = 0;
    if (view.window_ == endpoint_view::unlimited)
        return;
    ++view.window_;
    if (view.window_ >= max_assigned_requests(view))
        view.window_ = endpoint_view::unlimited;
}

auto endpoint_table::choose(const placement_query& query, state::time_point now, std::uint64_t random) const
    -> std::optional<state::endpoint_id>
{
    auto eligible = candidates(query, now);
    std::erase_if(eligible, [this, now](const auto* view) { return !has_room(*view, now); });
    if (eligible.empty())
        return std::nullopt;
    const auto sum =
        std::accumulate(eligible.begin(), eligible.end(), 0.0, [this, now](double so_far, const auto* view) {
            return so_far + load_of(*view, now);
        });
    const auto affinity_bound = sum / static_cast<double>(eligible.size()) + affinity_headroom;
    const auto rank = [&](const endpoint_view* view) {
        const auto load = load_of(*view, now);
        const auto has_affinity = query.kind_ == state::endpoint_kind::engine &&
                                  has_prefix(*view, query.prefix_) && load <= affinity_bound;
        // Ties are broken by a hash seeded with this request's random number, so that routers that see the
        // same loads do not all choose the same endpoint.
        return std::tuple{!has_affinity, load, state::stable_hash(view->endpoint_.id_.text(), random)};
    };
    const auto by_rank = [&](const auto* left, const auto* right) { return rank(left) < rank(right); };
    return (*std::ranges::min_element(eligible, by_rank))->endpoint_.id_;
}

auto endpoint_table::has_candidate(const placement_query& query, state::time_point now) const -> bool
{
    return !candidates(query, now).empty();
}

auto endpoint_table::find(const state::endpoint_id& id) const -> const endpoint_view*
{
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

auto endpoint_table::is_eligible(const endpoint_view& view, const placement_query& query,
                                 state::time_point now) const -> bool
{
    if (!view.is_listed_ || view.has_announced_leaving_ ||
        view.endpoint_.state_ == state::instance_state::leaving)
        return false;
    if (!offers(view.endpoint_, query) || query.excluded_.contains(view.endpoint_.id_))
        return false;
    if (view.missing_versions_.contains(query.version_) || now < view.ejected_until_)
        return false;
    return !query.is_suspect_ || view.suspects_in_flight_ == 0;
}

auto endpoint_table::has_room(const endpoint_view& view, state::time_point now) const -> bool
{
    return view.own_in_flight_ < view.window_ && load_of(view, now) < 1.0 + queue_allowance;
}

auto endpoint_table::load_of(const endpoint_view& view, state::time_point now) const -> double
{
    // A report covers the requests of all routers but is outdated; this router's own changes since are exact.
    // Its weight decays, since an endpoint that seems full gets no requests and so never reports again.
    const auto age = std::min(now - view.reported_at_, report_lifetime);
    const auto weight =
        1.0 - std::chrono::duration<double>(age) / std::chrono::duration<double>(report_lifetime);
    const auto others = std::max(view.reported_running_ - view.own_in_flight_at_report_, 0);
    const auto running = others * weight + view.own_in_flight_;
    return running / std::max(view.endpoint_.slots_, 1);
}

auto endpoint_table::candidates(const placement_query& query, state::time_point now) const
    -> std::vector<const endpoint_view*>
{
    auto found = std::vector<const endpoint_view*>{};
    for (const auto& [id, view] : views_) {
        if (is_eligible(view, query, now))
            found.push_back(&view);
    }
    return found;
}

} // namespace buckthorndale::coordination::placement

#include "coordination/forwarding/service_roll_outs.hpp"

#include "coordination/roll_out/sequential_test.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace buckthorndale::coordination::forwarding {

namespace {

using state::staged_roll_out_state;

/// Once the fraction `from_` of the allowed time has passed, `share_` of new requests goes to the new
/// version.
struct stage {
    double from_;
    double share_;
};

// The share is constant in the first half, so that sessions need not switch versions. The users allow a bad
// version at most 0.0975 of the requests. The last stage leaves time for long streams on the old version to
// end. A fleet of more than `max_fleet_with_full_share` endpoints begins with a smaller share.
constexpr auto stages = std::array{stage{.from_ = 0.0, .share_ = 0.08}, stage{.from_ = 0.53, .share_ = 0.25},
                                   stage{.from_ = 0.56, .share_ = 0.5}, stage{.from_ = 0.70, .share_ = 1.0}};
/// Up to this size a fleet needs the full first share for enough evidence: nine endpoints give two answers
/// per second.
constexpr auto max_fleet_with_full_share = std::size_t{16};
/// While the new version seems slower, but not clearly so, it gets no larger share.
constexpr auto max_suspected_share = 0.25;
/// Until this fraction of the allowed time has passed, pinned sessions keep the old version.
constexpr auto fixed_sessions_part = 0.5;
constexpr auto completion_part = 0.88;
/// All new requests go to the new version only once it was found not slower. If that is undecided at this
/// part of the allowed time, it is rolled back: afterwards the old version's streams could not end in time.
constexpr auto decision_part = 0.84;
/// New endpoints are slow in their first seconds; the times of answers that began then are not counted.
constexpr auto warm_up_part = 0.2;
/// The part of the allowed time that the streams on the old version have to end.
constexpr auto drain_part = 0.07;
/// The log-likelihood ratios against slowness that accept a version when this is first possible and at the
/// last moment.
constexpr auto first_evidence = 4.0;
constexpr auto last_evidence = -1.0;
/// With fewer times of the new version, nothing is decided in its favour.
constexpr auto min_accepted_answers = std::int64_t{12};
constexpr auto judgement_interval = state::duration{std::chrono::milliseconds{400}};
/// The times that a roll-out begins with are those of the last one to two periods.
constexpr auto times_period = state::duration{std::chrono::seconds{15}};
/// Reports arrive every second. A process that has just started waits for a few of them before it completes a
/// roll-out.
constexpr auto min_observation_time = state::duration{std::chrono::seconds{3}};

/// A version with fewer bad answers than this is never halted.
constexpr auto min_bad_answers = 3;

constexpr auto halt_test = roll_out::sequential_test_settings{
    .min_degradation_ = 0.2, .false_halt_rate_ = 0.01, .false_pass_rate_ = 0.01};

/// Endpoints of a new version are counted in this many groups.
constexpr auto endpoint_groups = std::uint64_t{8};
/// Times are counted in more groups, so that in a small fleet nearly every endpoint is a group.
constexpr auto time_groups = std::uint64_t{64};
/// A router that has not reported for longer has stopped; its followers report to another watcher.
constexpr auto report_lifetime = state::duration{std::chrono::seconds{5}};

template <typename Counts>
auto total_answers(const Counts& counts) -> std::int64_t
{
    auto sum = std::int64_t{0};
    for (const auto& [key, evidence] : counts)
        sum += evidence.total();
    return sum;
}

/// The fraction of the first share that a fleet begins with. It changes in powers of two, so that routers
/// that see a few more or fewer endpoints arrive at the same value.
auto first_share_part(std::size_t endpoints) -> double
{
    auto part = 1.0;
    for (auto size = max_fleet_with_full_share; size < endpoints; size *= 2)
        part /= 2;
    return part;
}

auto group_of(const state::endpoint_id& endpoint, std::uint64_t groups) -> std::int32_t
{
    return static_cast<std::int32_t>(state::stable_hash(endpoint.text()) % groups);
}

auto part_of(state::duration time, state::duration allowed) -> double
{
    return std::chrono::duration<double>(time) /
           std::chrono::duration<double>(std::max(allowed, state::duration{1}));
}

/// The evidence that accepts a version. With time left, more evidence is waited for.
auto needed_evidence(double part) -> double
{
    const auto left = std::clamp((decision_part - part) / (decision_part - stages.back().from_), 0.0, 1.0);
    return last_evidence + left * (first_evidence - last_evidence);
}

auto is_over(staged_roll_out_state state) -> bool
{
    return state == staged_roll_out_state::completed || state == staged_roll_out_state::rolled_back;
}

/// Numbers of creation compare within one era of the store only.
auto is_same_order(const state::staged_roll_out& known, const state::staged_roll_out& read) -> bool
{
    const auto is_same_creation = known.era_ != read.era_ || known.created_ == read.created_;
    return known.target_ == read.target_ && is_same_creation;
}

} // namespace

auto service_roll_outs::update(const std::vector<state::staged_roll_out>& orders, state::time_point now)
    -> void
{
    auto kept = std::map<state::service_name, progress>{};
    for (const auto& order : orders) {
        auto item = progress{.order_ = order, .recorded_ = order.state_, .began_ = now, .seen_at_ = now};
        const auto known = services_.find(order.service_);
        if (known != services_.end() && is_same_order(known->second.order_, order)) {
            item.began_ = known->second.began_;
            item.seen_at_ = known->second.seen_at_;
            item.is_halted_ = known->second.is_halted_;
            item.accepted_at_ = known->second.accepted_at_;
            item.slowness_ = known->second.slowness_;
            // A finished roll-out stays finished even if a stale copy of its record is read.
            if (is_over(known->second.order_.state_) && !is_over(order.state_))
                item.order_.state_ = known->second.order_.state_;
        } else {
            // Times of an earlier attempt at the same version are not evidence about this one.
            auto& times = own_times_[order.service_];
            const auto is_target = [&](const auto& entry) { return entry.first.version_ == order.target_; };
            std::erase_if(times.previous_, is_target);
            std::erase_if(times.current_, is_target);
        }
        kept.emplace(order.service_, std::move(item));
    }
    services_ = std::move(kept);
}

auto service_roll_outs::record(const state::service_name& service, const state::version_name& version,
                               const std::string& route, const state::endpoint_id& endpoint, bool is_good)
    -> void
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    auto key = evidence_key{.service_ = service, .version_ = version, .route_ = route};
    // Only answers of the new version are counted by endpoint.
    if (version == found->second.order_.target_)
        key.endpoint_group_ = group_of(endpoint, endpoint_groups);
    own_[key] += is_good ? roll_out::evidence{.good_ = 1} : roll_out::evidence{.bad_ = 1};
}

auto service_roll_outs::record_time(const state::service_name& service, const state::version_name& version,
                                    const roll_out::work_kind& work, const state::endpoint_id& endpoint,
                                    state::time_point started, state::duration time, state::time_point now)
    -> void
{
    const auto found = services_.find(service);
    const auto is_running = found != services_.end() && !is_over(found->second.order_.state_);
    const auto is_target = is_running && version == found->second.order_.target_;
    if (is_target &&
        part_of(started - found->second.began_, found->second.order_.time_allowed_) < warm_up_part)
        return;
    auto& times = own_times_[service];
    if (!is_running && now - times.began_ >= times_period) {
        times.previous_ = std::exchange(times.current_, {});
        times.began_ = now;
    }
    const auto key = time_key{.service_ = service,
                              .version_ = version,
                              .work_ = work,
                              .endpoint_group_ = is_target ? group_of(endpoint, time_groups) : 0};
    times.current_[key].add(roll_out::time_histogram::bin_of(time));
}

auto service_roll_outs::hear(const state::instance_id& from, report_scope scope,
                             const roll_out_report& report, state::time_point now) -> void
{
    received_[from] = {.scope_ = scope, .report_ = report, .received_at_ = now};
    for (const auto& age : report.ages_) {
        const auto found = services_.find(age.service_);
        if (found == services_.end() || found->second.order_.created_ != age.created_)
            continue;
        const auto& own_era = found->second.order_.era_;
        const auto are_eras_known = age.era_ != state::store_era{} && own_era != state::store_era{};
        if (are_eras_known && own_era != age.era_)
            continue;
        found->second.began_ = std::min(found->second.began_, now - age.age_);
        found->second.is_halted_ = found->second.is_halted_ || age.is_halted_;
        if (age.is_accepted_ && !found->second.accepted_at_)
            found->second.accepted_at_ = now;
    }
}

auto service_roll_outs::is_running() const -> bool
{
    return std::ranges::any_of(services_, [](const auto& item) { return !is_over(item.second.recorded_); });
}

auto service_roll_outs::report(report_scope scope, state::incarnation life, state::time_point now) const
    -> roll_out_report
{
    auto result = roll_out_report{.life_ = life};
    const auto sums = sum_counts(scope, now);
    for (const auto& [service, item] : services_) {
        if (is_over(item.recorded_))
            continue;
        const auto is_rolled_back = item.order_.state_ == staged_roll_out_state::rolled_back;
        result.ages_.push_back({.service_ = service,
                                .era_ = item.order_.era_,
                                .created_ = item.order_.created_,
                                .age_ = now - item.began_,
                                .is_halted_ = item.is_halted_ || is_rolled_back,
                                .is_accepted_ = item.accepted_at_.has_value()});
        for (const auto& [key, counts] : sums.counts_) {
            if (key.service_ == service)
                result.counts_.push_back({key, counts});
        }
        for (const auto& [key, times] : sums.times_) {
            if (key.service_ == service)
                result.times_.push_back({key, times});
        }
    }
    return result;
}

auto service_roll_outs::record_fleet_sizes(const std::vector<state::registered_endpoint>& endpoints) -> void
{
    auto counts = std::map<std::pair<state::service_name, state::version_name>, std::size_t>{};
    for (const auto& endpoint : endpoints) {
        const auto count = ++counts[{endpoint.service_, endpoint.version_}];
        auto& largest = max_fleet_sizes_[endpoint.service_];
        largest = std::max(largest, count);
    }
}

auto service_roll_outs::share_of(const progress& item, state::time_point now) const -> double
{
    if (item.order_.state_ == staged_roll_out_state::completed)
        return 1.0;
    if (item.is_halted_ || item.order_.state_ == staged_roll_out_state::rolled_back)
        return 0.0;
    const auto part = part_of(now - item.began_, item.order_.time_allowed_);
    auto share = 0.0;
    for (const auto& step : stages) {
        if (part < step.from_ || (step.share_ >= 1.0 && !item.accepted_at_) ||
            (step.share_ > max_suspected_share && item.slowness_.is_suspected() && !item.accepted_at_))
            break;
        share = step.share_;
    }
    const auto fleet = max_fleet_sizes_.find(item.order_.service_);
    const auto is_first_stage = part < stages[1].from_;
    if (is_first_stage && fleet != max_fleet_sizes_.end())
        share *= first_share_part(fleet->second);
    return share;
}

auto service_roll_outs::share(const state::service_name& service, state::time_point now) const -> double
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0.0 : share_of(found->second, now);
}

auto service_roll_outs::choose(const state::service_name& service,
                               const std::vector<state::version_name>& versions,
                               const std::optional<state::version_name>& pinned, double draw,
                               state::time_point now) const -> version_choice
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        // Endpoints of a new version may be listed before this router has read the order.
        if (versions.size() > 1)
            return {.only_ = versions.front()};
        return {};
    }
    const auto& item = found->second;
    const auto& target = item.order_.target_;
    const auto share = share_of(item, now);
    const auto has_target = std::ranges::find(versions, target) != versions.end();
    const auto has_other =
        std::ranges::any_of(versions, [&](const auto& version) { return version != target; });
    if (share <= 0.0)
        return {.except_ = target};
    if (share >= 1.0)
        return has_target ? version_choice{.only_ = target} : version_choice{};
    if (!has_target || !has_other)
        return {};
    if (pinned && *pinned == target)
        return {.only_ = target};
    const auto is_first_half = now - item.began_ < item.order_.time_allowed_ * fixed_sessions_part;
    if (pinned && is_first_half)
        return {.except_ = target};
    return draw < share ? version_choice{.only_ = target} : version_choice{.except_ = target};
}

auto service_roll_outs::add_report(evidence_sums& sums, const roll_out_report& report) -> void
{
    for (const auto& count : report.counts_)
        sums.counts_[count.key_] += count.counts_;
    for (const auto& count : report.times_)
        sums.times_[count.key_] += count.times_;
}

auto service_roll_outs::sum_partial_reports(report_scope scope, state::time_point now) const -> evidence_sums
{
    auto all = evidence_sums{.counts_ = own_};
    for (const auto& [service, times] : own_times_) {
        const auto found = services_.find(service);
        if (found == services_.end() || is_over(found->second.order_.state_))
            continue;
        all.times_.insert(times.current_.begin(), times.current_.end());
        for (const auto& [key, histogram] : times.previous_)
            all.times_[key] += histogram;
    }
    for (const auto& [from, item] : received_) {
        const auto is_wanted = item.scope_ == report_scope::own ||
                               (item.scope_ == report_scope::subtree && scope == report_scope::all);
        if (scope == report_scope::own || !is_wanted || now - item.received_at_ > report_lifetime)
            continue;
        add_report(all, item.report_);
    }
    return all;
}

auto service_roll_outs::sum_counts(report_scope scope, state::time_point now) const -> evidence_sums
{
    auto best = sum_partial_reports(scope, now);
    if (scope != report_scope::all)
        return best;
    // Totals overlap and cannot be added, so the one with the most answers is used.
    auto best_size = total_answers(best.counts_);
    for (const auto& [from, item] : received_) {
        if (item.scope_ != report_scope::all || now - item.received_at_ > report_lifetime)
            continue;
        auto total = evidence_sums{};
        add_report(total, item.report_);
        const auto size = total_answers(total.counts_);
        if (size <= best_size)
            continue;
        best = std::move(total);
        best_size = size;
    }
    return best;
}

auto service_roll_outs::is_worse(const progress& item, const counts_map& all) const -> bool
{
    using by_endpoint = std::map<std::int32_t, roll_out::evidence>;
    auto target_counts = std::map<std::string, by_endpoint>{};
    auto baseline_counts = std::map<std::string, roll_out::evidence>{};
    // The empty route holds the sum over all routes.
    for (const auto& [key, counts] : all) {
        if (key.service_ != item.order_.service_)
            continue;
        for (const auto& route : {key.route_, std::string{}}) {
            if (key.version_ == item.order_.target_)
                target_counts[route][key.endpoint_group_] += counts;
            else
                baseline_counts[route] += counts;
        }
    }
    for (const auto& [route, endpoints] : target_counts) {
        auto sum = roll_out::evidence{};
        for (const auto& [id, counts] : endpoints)
            sum += counts;
        // Leaves out the worst endpoint: a fault of one endpoint is not evidence against its version.
        const auto worst =
            std::ranges::max_element(endpoints, {}, [](const auto& entry) { return entry.second.bad_; });
        if (endpoints.size() > 1) {
            sum.good_ -= worst->second.good_;
            sum.bad_ -= worst->second.bad_;
        }
        if (sum.bad_ >= min_bad_answers && roll_out::judge(baseline_counts[route], sum, halt_test) ==
                                               roll_out::sequential_test_verdict::worse)
            return true;
    }
    return false;
}

auto service_roll_outs::judge_times(progress& item, const times_map& all, state::time_point now) -> void
{
    auto work = roll_out::compared_work{};
    for (const auto& [key, times] : all) {
        if (key.service_ != item.order_.service_)
            continue;
        auto& compared = work[key.work_];
        if (key.version_ == item.order_.target_)
            compared.candidate_[key.endpoint_group_] += times;
        else
            compared.base_ += times;
    }
    item.slowness_.update(work);
    if (item.slowness_.is_slower()) {
        item.is_halted_ = true;
        return;
    }
    const auto part = part_of(now - item.began_, item.order_.time_allowed_);
    const auto has_heard_others =
        now - item.seen_at_ >= min_observation_time && !item.slowness_.is_incomplete();
    if (item.accepted_at_ || part < stages.back().from_ || !has_heard_others)
        return;
    if (item.slowness_.answers() >= min_accepted_answers &&
        item.slowness_.evidence_against() >= needed_evidence(part))
        item.accepted_at_ = now;
    else if (part >= decision_part)
        item.is_halted_ = true;
}

auto service_roll_outs::judge(state::time_point now) -> std::vector<state::service_name>
{
    auto worse = std::vector<state::service_name>{};
    if (!is_running() || now - judged_at_ < judgement_interval)
        return worse;
    judged_at_ = now;
    const auto all = sum_counts(report_scope::all, now);
    for (auto& [service, item] : services_) {
        if (item.is_halted_ || is_over(item.order_.state_))
            continue;
        item.is_halted_ = is_worse(item, all.counts_);
        if (!item.is_halted_)
            judge_times(item, all.times_, now);
        if (item.is_halted_)
            worse.push_back(service);
    }
    return worse;
}

auto service_roll_outs::steps(state::time_point now) const -> std::vector<roll_out_step>
{
    auto wanted = std::vector<roll_out_step>{};
    for (const auto& [service, item] : services_) {
        if (is_over(item.recorded_))
            continue;
        const auto& allowed = item.order_.time_allowed_;
        auto state = staged_roll_out_state::running;
        if (is_over(item.order_.state_))
            state = item.order_.state_;
        else if (item.is_halted_)
            state = staged_roll_out_state::rolled_back;
        else if (item.accepted_at_ && now - item.seen_at_ >= min_observation_time &&
                 part_of(now - item.began_, allowed) >= completion_part &&
                 part_of(now - *item.accepted_at_, allowed) >= drain_part)
            state = staged_roll_out_state::completed;
        if (state != item.recorded_)
            wanted.push_back({.service_ = service,
                              .target_ = item.order_.target_,
                              .state_ = state,
                              .position_ = {.era_ = item.order_.era_, .revision_ = item.order_.revision_}});
    }
    return wanted;
}

} // namespace buckthorndale::coordination::forwarding

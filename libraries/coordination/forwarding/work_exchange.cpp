#include "coordination/forwarding/work_exchange.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

auto add(std::map<state::endpoint_id, state::duration>& sums, const std::vector<endpoint_work>& work) -> void
{
    for (const auto& item : work)
        sums[item.endpoint_] += item.pending_;
}

} // namespace

auto work_exchange::hear(const state::instance_id& from, report_scope scope,
                         const std::vector<endpoint_work>& work, state::time_point now) -> void
{
    heard_[from] = {.scope_ = scope, .work_ = work, .at_ = now};
}

auto work_exchange::report(const std::vector<endpoint_work>& own, state::time_point now) -> work_report
{
    std::erase_if(heard_, [&](const auto& item) { return now - item.second.at_ > longest_age; });
    told_ = own;
    auto sums = work_map{};
    add(sums, own);
    add_heard(sums, report_scope::own, now);
    auto report = work_report{.own_ = own, .subtree_ = listed(sums)};
    add_heard(sums, report_scope::subtree, now);
    report.all_ = busiest(listed(sums));
    return report;
}

auto work_exchange::busiest(std::vector<endpoint_work> work) -> std::vector<endpoint_work>
{
    if (work.size() <= most_told)
        return work;
    const auto end = work.begin() + static_cast<std::ptrdiff_t>(most_told);
    std::ranges::partial_sort(work, end, std::ranges::greater{}, &endpoint_work::pending_);
    work.erase(end, work.end());
    return work;
}

auto work_exchange::others(state::time_point now) const -> std::vector<endpoint_work>
{
    auto sums = work_map{};
    // A sum over all routers holds everything else; the newest one counts.
    const heard_report* newest = nullptr;
    for (const auto& [from, item] : heard_) {
        const auto is_sum = item.scope_ == report_scope::all && now - item.at_ <= longest_age;
        if (is_sum && (newest == nullptr || item.at_ > newest->at_))
            newest = &item;
    }
    if (newest == nullptr) {
        add_heard(sums, report_scope::own, now);
        add_heard(sums, report_scope::subtree, now);
        return listed(sums);
    }
    add(sums, newest->work_);
    for (const auto& item : told_) {
        const auto found = sums.find(item.endpoint_);
        if (found != sums.end())
            found->second -= std::min(found->second, item.pending_);
    }
    return listed(sums);
}

auto work_exchange::add_heard(work_map& sums, report_scope scope, state::time_point now) const -> void
{
    for (const auto& [from, item] : heard_) {
        if (item.scope_ == scope && now - item.at_ <= longest_age)
            add(sums, item.work_);
    }
}

auto work_exchange::listed(const work_map& sums) -> std::vector<endpoint_work>
{
    auto work = std::vector<endpoint_work>{};
    for (const auto& [endpoint, pending] : sums) {
        if (pending > state::duration::zero())
            work.push_back({.endpoint_ = endpoint, .pending_ = pending});
    }
    return work;
}

} // namespace buckthorndale::coordination::forwarding

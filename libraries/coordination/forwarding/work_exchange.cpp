#include "coordination/forwarding/work_exchange.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

auto add_to_sums(std::map<state::endpoint_id, state::duration>& sums, const std::vector<endpoint_work>& work)
    -> void
{
    for (const auto& item : work)
        sums[item.endpoint_] += item.pending_;
}

} // namespace

auto work_exchange::hear(const state::instance_id& from, report_scope scope,
                         const std::vector<endpoint_work>& work, state::time_point now) -> void
{
    received_[from] = {.scope_ = scope, .work_ = work, .received_at_ = now};
}

auto work_exchange::report(const std::vector<endpoint_work>& own, state::time_point now) -> work_report
{
    std::erase_if(received_,
                  [&](const auto& item) { return now - item.second.received_at_ > max_report_age; });
    last_reported_ = own;
    auto sums = work_map{};
    add_to_sums(sums, own);
    add_received(sums, report_scope::own, now);
    auto report = work_report{.own_ = own, .subtree_ = to_vector(sums)};
    add_received(sums, report_scope::subtree, now);
    report.all_ = busiest(to_vector(sums));
    return report;
}

auto work_exchange::busiest(std::vector<endpoint_work> work) -> std::vector<endpoint_work>
{
    if (work.size() <= max_reported_endpoints)
        return work;
    const auto end = work.begin() + static_cast<std::ptrdiff_t>(max_reported_endpoints);
    std::ranges::partial_sort(work, end, std::ranges::greater{}, &endpoint_work::pending_);
    work.erase(end, work.end());
    return work;
}

auto work_exchange::remote_work(state::time_point now) const -> std::vector<endpoint_work>
{
    auto sums = work_map{};
    // A sum over all routers contains all other reports; the newest one is used.
    const received_report* newest = nullptr;
    for (const auto& [from, item] : received_) {
        const auto is_sum = item.scope_ == report_scope::all && now - item.received_at_ <= max_report_age;
        if (is_sum && (newest == nullptr || item.received_at_ > newest->received_at_))
            newest = &item;
    }
    if (newest == nullptr) {
        add_received(sums, report_scope::own, now);
        add_received(sums, report_scope::subtree, now);
        return to_vector(sums);
    }
    add_to_sums(sums, newest->work_);
    for (const auto& item : last_reported_) {
        const auto found = sums.find(item.endpoint_);
        if (found != sums.end())
            found->second -= std::min(found->second, item.pending_);
    }
    return to_vector(sums);
}

auto work_exchange::add_received(work_map& sums, report_scope scope, state::time_point now) const -> void
{
    for (const auto& [from, item] : received_) {
        if (item.scope_ == scope && now - item.received_at_ <= max_report_age)
            add_to_sums(sums, item.work_);
    }
}

auto work_exchange::to_vector(const work_map& sums) -> std::vector<endpoint_work>
{
    auto work = std::vector<endpoint_work>{};
    for (const auto& [endpoint, pending] : sums) {
        if (pending > state::duration::zero())
            work.push_back({.endpoint_ = endpoint, .pending_ = pending});
    }
    return work;
}

} // namespace buckthorndale::coordination::forwarding

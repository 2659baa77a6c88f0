#pragma once

#include "coordination/forwarding/endpoint_sum.hpp"
#include "coordination/forwarding/endpoint_sum_report.hpp"
#include "coordination/forwarding/report_scope.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Adds up what the routers know of each endpoint. Reports take the same path as those of roll-outs: from
/// followers to a watcher, between watchers, and back to the followers as sums. A report replaces the
/// sender's previous one, so a late or doubled one does no harm.
///
/// Load pattern: dozens of routers with a few requests each at an endpoint. From its own requests alone, none
/// can tell an endpoint with one second of queued prompts, or a slow one, from the others.
template <endpoint_sum Sum>
class endpoint_sum_exchange {
public:
    /// Stores a report of another router; it replaces that router's previous one.
    auto hear(const state::instance_id& from, report_scope scope, const std::vector<Sum>& sums,
              state::time_point now) -> void
    {
        received_[from] = {.scope_ = scope, .sums_ = sums, .received_at_ = now};
    }

    /// Builds the report to send, given this router's own sums.
    auto report(const std::vector<Sum>& own, state::time_point now) -> endpoint_sum_report<Sum>
    {
        std::erase_if(received_,
                      [&](const auto& item) { return now - item.second.received_at_ > Sum::max_report_age; });
        last_reported_ = own;
        auto sums = sum_map{};
        add_to(sums, own);
        add_received(sums, report_scope::own, now);
        auto report = endpoint_sum_report<Sum>{.own_ = own, .subtree_ = to_vector(sums)};
        add_received(sums, report_scope::subtree, now);
        report.all_ = weightiest(to_vector(sums));
        return report;
    }

    /// The sums of the other routers.
    auto remote(state::time_point now) const -> std::vector<Sum>
    {
        auto sums = sum_map{};
        // A sum over all routers contains all other reports; the newest one is used.
        const received_report* newest = nullptr;
        for (const auto& [from, item] : received_) {
            const auto is_sum =
                item.scope_ == report_scope::all && now - item.received_at_ <= Sum::max_report_age;
            if (is_sum && (newest == nullptr || item.received_at_ > newest->received_at_))
                newest = &item;
        }
        if (newest == nullptr) {
            add_received(sums, report_scope::own, now);
            add_received(sums, report_scope::subtree, now);
            return to_vector(sums);
        }
        add_to(sums, newest->sums_);
        for (const auto& item : last_reported_) {
            if (const auto found = sums.find(item.endpoint_); found != sums.end())
                found->second.subtract(item);
        }
        return to_vector(sums);
    }

private:
    using sum_map = std::map<state::endpoint_id, Sum>;

    struct received_report {
        report_scope scope_{report_scope::own};
        std::vector<Sum> sums_;
        state::time_point received_at_;
    };

    static auto add_to(sum_map& sums, const std::vector<Sum>& added) -> void
    {
        for (const auto& item : added) {
            auto& sum = sums[item.endpoint_];
            sum.endpoint_ = item.endpoint_;
            sum.add(item);
        }
    }

    auto add_received(sum_map& sums, report_scope scope, state::time_point now) const -> void
    {
        for (const auto& [from, item] : received_) {
            if (item.scope_ == scope && now - item.received_at_ <= Sum::max_report_age)
                add_to(sums, item.sums_);
        }
    }

    static auto to_vector(const sum_map& sums) -> std::vector<Sum>
    {
        auto items = std::vector<Sum>{};
        for (const auto& [endpoint, sum] : sums) {
            if (!sum.is_empty())
                items.push_back(sum);
        }
        return items;
    }

    /// The endpoints with the most weight; the others hardly differ from those without a report.
    static auto weightiest(std::vector<Sum> sums) -> std::vector<Sum>
    {
        if (sums.size() <= Sum::max_reported_endpoints)
            return sums;
        const auto end = sums.begin() + static_cast<std::ptrdiff_t>(Sum::max_reported_endpoints);
        std::ranges::partial_sort(sums, end, std::ranges::greater{}, &Sum::weight);
        sums.erase(end, sums.end());
        return sums;
    }

    std::map<state::instance_id, received_report> received_;
    /// The own sums in this router's last report; the sums received from others contain them.
    std::vector<Sum> last_reported_;
};

} // namespace buckthorndale::coordination::forwarding

#pragma once

#include "coordination/billing/record_id.hpp"
#include "coordination/billing/replication_factor.hpp"
#include "state/bill_record.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <concepts>
#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace buckthorndale::coordination::billing {

/// The operations that the replicator requires.
template <typename Type>
concept replicator_port = requires(Type& port, const state::instance_id& holder,
                                   const state::bill_record& record, bool is_degraded) {
    /// Sends a copy of the record to the agent of an instance.
    port.send_copy(holder, record);
    /// Reports that enough instances hold the record. Degraded: fewer than replication_factor do.
    port.copies_complete(record, is_degraded);
};

/// Replicates each bill record to several instances before the end of the answer is sent.
/// A record counts as replicated when replication_factor instances hold it, or all reachable ones do. In the
/// latter case, further copies are placed as soon as instances become reachable again.
template <replicator_port Port>
class bill_replicator {
public:
    /// The time after which a holder that has not acknowledged the record is skipped.
    static constexpr state::duration holder_timeout{std::chrono::milliseconds{150}};
    /// The time after which a record counts as replicated with the existing copies, if there is one.
    static constexpr state::duration replication_timeout{std::chrono::milliseconds{900}};

    /// How long, and how often, further copies are attempted after a record was reported as degraded.
    static constexpr state::duration repair_timeout{std::chrono::seconds{60}};
    static constexpr state::duration repair_interval{std::chrono::seconds{3}};

    explicit bill_replicator(Port& port) : port_{port} {}

    /// Sets the instances that can hold copies, in order of preference, the local instance first.
    auto set_holders(std::vector<state::instance_id> holders) -> void { holders_ = std::move(holders); }

    /// Starts to replicate a record.
    auto add(const state::bill_record& record, state::time_point now) -> void
    {
        auto& entry = entries_[id_of(record)];
        entry.record_ = record;
        entry.started_ = now;
        ask_holders(entry, now);
    }

    /// Records that an instance holds the record.
    auto acknowledge(const record_id& id, const state::instance_id& holder, state::time_point now) -> void
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return;
        found->second.asked_.erase(holder);
        found->second.held_by_.insert(holder);
        settle_if_complete(found, now);
    }

    /// Records that an instance did not accept the record.
    auto reject(const record_id& id, const state::instance_id& holder, state::time_point now) -> void
    {
        const auto found = entries_.find(id);
        if (found == entries_.end())
            return;
        found->second.asked_.erase(holder);
        found->second.skipped_.insert(holder);
        if (!found->second.is_reported_)
            ask_holders(found->second, now);
        settle_if_complete(found, now);
    }

    /// Skips holders that have timed out, and sends further copies where some are missing.
    auto tick(state::time_point now) -> void
    {
        for (auto next = entries_.begin(); next != entries_.end();) {
            const auto current = next++;
            if (current->second.is_reported_ && now - current->second.started_ > repair_timeout) {
                entries_.erase(current);
                --reported_;
                continue;
            }
            skip_late_holders(current->second, now);
            if (current->second.is_reported_)
                repair(current->second, now);
            else
                ask_holders(current->second, now);
            settle_if_complete(current, now);
        }
    }

    /// The number of records that have not been reported through copies_complete yet.
    auto pending() const -> std::size_t { return entries_.size() - reported_; }

private:
    struct pending_record {
        state::bill_record record_;
        state::time_point started_;
        std::map<state::instance_id, state::time_point> asked_;
        std::set<state::instance_id> held_by_;
        std::set<state::instance_id> skipped_;
        /// Whether copies_complete was called; missing copies are still placed until repair_timeout.
        bool is_reported_{false};
        state::time_point last_repair_;
    };

    using entry_map = std::map<record_id, pending_record>;

    auto ask_holders(pending_record& entry, state::time_point now) -> void
    {
        for (const auto& holder : holders_) {
            if (entry.held_by_.size() + entry.asked_.size() >= replication_factor)
                return;
            if (entry.held_by_.contains(holder) || entry.asked_.contains(holder) ||
                entry.skipped_.contains(holder))
                continue;
            entry.asked_.emplace(holder, now);
            port_.send_copy(holder, entry.record_);
        }
    }

    auto skip_late_holders(pending_record& entry, state::time_point now) -> void
    {
        for (auto next = entry.asked_.begin(); next != entry.asked_.end();) {
            const auto current = next++;
            if (now - current->second <= holder_timeout)
                continue;
            entry.skipped_.insert(current->first);
            entry.asked_.erase(current);
        }
        // A record without any copy must not be dropped, so all holders are asked again.
        if (entry.held_by_.empty() && entry.asked_.empty())
            entry.skipped_.clear();
    }

    /// Asks further holders once per repair_interval, and starts over when all have been skipped.
    auto repair(pending_record& entry, state::time_point now) -> void
    {
        if (now - entry.last_repair_ < repair_interval)
            return;
        entry.last_repair_ = now;
        ask_holders(entry, now);
        if (!entry.asked_.empty())
            return;
        entry.skipped_.clear();
        ask_holders(entry, now);
    }

    auto settle_if_complete(typename entry_map::iterator current, state::time_point now) -> void
    {
        auto& entry = current->second;
        const auto has_all = entry.held_by_.size() >= replication_factor;
        const auto has_all_reachable = !entry.held_by_.empty() && entry.asked_.empty();
        const auto has_waited = !entry.held_by_.empty() && now - entry.started_ > replication_timeout;
        if (!has_all && !has_all_reachable && !has_waited)
            return;
        const auto is_first_report = !std::exchange(entry.is_reported_, true);
        const auto record = entry.record_;
        if (is_first_report) {
            ++reported_;
            entry.last_repair_ = now;
        }
        if (has_all) {
            entries_.erase(current);
            --reported_;
        }
        if (is_first_report)
            port_.copies_complete(record, !has_all);
    }

    Port& port_;
    std::vector<state::instance_id> holders_;
    entry_map entries_;
    std::size_t reported_{0};
};

} // namespace buckthorndale::coordination::billing

#include "coordination/billing/bill_table.hpp"

#include "state/invariant.hpp"

#include <algorithm>

namespace buckthorndale::coordination::billing {

auto bill_table::try_add(const state::bill_record& record, holder_role role, state::time_point now) -> bool
{
    const auto id = id_of(record);
    if (entries_.contains(id))
        return true;
    if (entries_.size() >= max_records)
        return false;
    entries_.emplace(id, entry{.record_ = record, .role_ = role, .since_ = now});
    return true;
}

auto bill_table::try_seal(state::time_point now, bool is_shutting_down) -> std::optional<bill_segment>
{
    if (open_segment_)
        return std::nullopt;
    auto segment =
        bill_segment{.writer_ = self_, .writer_incarnation_ = incarnation_, .number_ = next_segment_};
    auto is_any_due = false;
    for (const auto& [id, item] : entries_)
        is_any_due = is_any_due || is_due(item, now, is_shutting_down);
    if (!is_any_due)
        return std::nullopt;
    for (const auto& [id, item] : entries_) {
        const auto is_included = item.role_ == holder_role::primary || is_due(item, now, is_shutting_down);
        if (is_included && segment.records_.size() < max_segment_records)
            segment.records_.push_back(item.record_);
    }
    ++next_segment_;
    open_segment_ = segment;
    return segment;
}

auto bill_table::records() const -> std::vector<state::bill_record>
{
    auto records = std::vector<state::bill_record>{};
    for (const auto& [id, item] : entries_)
        records.push_back(item.record_);
    return records;
}

auto bill_table::mark_written() -> std::vector<record_id>
{
    verify(open_segment_.has_value(), state::guarantee::billed_once,
           "only an open segment can be marked as written");
    auto written = std::vector<record_id>{};
    for (const auto& record : open_segment_->records_) {
        written.push_back(id_of(record));
        entries_.erase(written.back());
    }
    open_segment_.reset();
    return written;
}

auto bill_table::release(const written_ranges& written) -> void
{
    std::erase_if(entries_, [&written](const auto& item) {
        const auto& [id, held] = item;
        const auto holds = [&id](const auto& range) { return range.contains(id); };
        return held.role_ == holder_role::backup && std::ranges::any_of(written.ranges_, holds);
    });
}

auto bill_table::oldest_age(state::time_point now) const -> state::duration
{
    auto oldest = state::duration::zero();
    for (const auto& [id, item] : entries_)
        oldest = std::max(oldest, now - item.since_);
    return oldest;
}

auto bill_table::is_due(const entry& item, state::time_point now, bool is_shutting_down) const -> bool
{
    if (is_shutting_down)
        return true;
    const auto timeout = item.role_ == holder_role::primary ? flush_interval : backup_timeout;
    return now - item.since_ >= timeout;
}

} // namespace buckthorndale::coordination::billing

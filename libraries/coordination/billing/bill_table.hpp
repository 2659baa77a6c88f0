#pragma once

#include "coordination/billing/bill_segment.hpp"
#include "coordination/billing/record_id.hpp"
#include "coordination/billing/written_ranges.hpp"
#include "state/bill_record.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::coordination::billing {

/// The role of an agent for a bill record that it holds.
enum class holder_role : std::uint8_t {
    /// The record comes from the agent's own router, and the agent writes it to the platform.
    primary,
    /// A copy for another instance, written only when that instance does not write it in time.
    backup,
};

/// The bill records that an agent keeps in memory until they are stored in the platform.
class bill_table {
public:
    bill_table(state::instance_id self, state::incarnation incarnation)
        : self_{std::move(self)}, incarnation_{incarnation}
    {}

    /// Adds a record; adding it again has no effect. Returns false when the table is full.
    auto try_add(const state::bill_record& record, holder_role role, state::time_point now) -> bool;

    /// Collects the records that are due into a segment for the platform; nothing when none is due.
    /// Only one segment is open at a time, so that the segments of an agent are numbered without gaps.
    /// Backups are due when their primary is late. All records are due when the agent shuts down.
    auto try_seal(state::time_point now, bool is_shutting_down) -> std::optional<bill_segment>;

    /// The segment being written, so that the write can be retried after a lost response.
    auto open_segment() const -> const std::optional<bill_segment>& { return open_segment_; }

    /// Records that the open segment is stored. Returns the records whose backups may now be dropped.
    auto mark_written() -> std::vector<record_id>;

    /// Drops the backups of records that their primary has written.
    auto release(const written_ranges& written) -> void;

    auto size() const -> std::size_t { return entries_.size(); }

    /// All records that may not be stored in the platform yet.
    auto records() const -> std::vector<state::bill_record>;

    /// The age of the oldest record; zero when the table is empty.
    auto oldest_age(state::time_point now) const -> state::duration;

private:
    struct entry {
        state::bill_record record_;
        holder_role role_{holder_role::primary};
        state::time_point since_;
    };

    auto is_due(const entry& item, state::time_point now, bool is_shutting_down) const -> bool;

    /// The maximum time from a segment's first record to the write of the segment.
    static constexpr state::duration flush_interval{std::chrono::seconds{5}};
    /// A backup that its primary has not released is written after this time, slightly longer than a
    /// working primary needs. Until then the record is lost if the third holder crashes as well.
    static constexpr state::duration backup_timeout{std::chrono::seconds{8}};
    /// Keeps a segment below the platform's size limit for a value, at less than 500 bytes per record.
    static constexpr std::size_t max_segment_records{1500};
    /// Bounds memory during a long platform outage, at about 600 bytes per record.
    static constexpr std::size_t max_records{100'000};

    state::instance_id self_;
    state::incarnation incarnation_;
    std::uint64_t next_segment_{1};
    std::map<record_id, entry> entries_;
    std::optional<bill_segment> open_segment_;
};

} // namespace buckthorndale::coordination::billing

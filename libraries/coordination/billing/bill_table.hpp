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

/// Where an agent stands towards a record it holds.
enum class holder_role : std::uint8_t {
    /// Its own router's record; this agent writes it to the platform.
    primary,
    /// A copy for another instance; written only when that instance does not do it in time.
    backup,
};

/// The bill records an agent holds in memory until the platform has them.
class bill_table {
public:
    bill_table(state::instance_id self, state::incarnation incarnation)
        : self_{std::move(self)}, incarnation_{incarnation}
    {}

    /// Takes a record. Taking it again changes nothing. Returns false when the book is full.
    auto try_add(const state::bill_record& record, holder_role role, state::time_point now) -> bool;

    /// Puts the records that are due into a segment to be created in the platform, or nothing.
    /// Only one segment is open at a time, so that segments of one agent are numbered without gaps.
    /// Backups are due when their primary is late; all records are due when the agent shuts down.
    auto try_seal(state::time_point now, bool is_shutting_down) -> std::optional<bill_segment>;

    /// The segment that is being written, for another try after a lost answer.
    auto open_segment() const -> const std::optional<bill_segment>& { return open_segment_; }

    /// Records that the open segment is in the platform. Returns the records that backups may now drop.
    auto mark_written() -> std::vector<record_id>;

    /// Drops copies whose primary has written them.
    auto release(const written_ranges& written) -> void;

    auto size() const -> std::size_t { return entries_.size(); }

    /// All records that the platform may not have.
    auto records() const -> std::vector<state::bill_record>;

    /// The age of the oldest record held; zero when there is none.
    auto oldest_age(state::time_point now) const -> state::duration;

private:
    struct entry {
        state::bill_record record_;
        holder_role role_{holder_role::primary};
        state::time_point since_;
    };

    auto is_due(const entry& item, state::time_point now, bool is_shutting_down) const -> bool;

    /// A segment is written at the latest this long after its first record came.
    static constexpr state::duration flush_interval{std::chrono::seconds{5}};
    /// A backup is written when its primary has been silent for this long, a little over what a living
    /// primary takes. Until then a third holder's death would lose the record.
    static constexpr state::duration backup_timeout{std::chrono::seconds{8}};
    /// Keeps a segment under the platform's limit for a value, at under 500 bytes a record.
    static constexpr std::size_t max_segment_records{1500};
    /// Bounds memory in a long outage of the platform, at about 600 bytes a record.
    static constexpr std::size_t max_records{100'000};

    state::instance_id self_;
    state::incarnation incarnation_;
    std::uint64_t next_segment_{1};
    std::map<record_id, entry> entries_;
    std::optional<bill_segment> open_segment_;
};

} // namespace buckthorndale::coordination::billing

#pragma once

#include "state/bill_key.hpp"
#include "state/bill_record.hpp"

#include <cstddef>
#include <map>

/// Replicates bill records until they are stored in the platform, and reads them back as one ledger.
namespace buckthorndale::coordination::billing {

/// Reduces bill records to one bill per key, independent of their order and of repeated reads.
class bill_deduplicator {
public:
    /// Adds a record. Of the records with the same key, the one that was completed first is the bill.
    auto add(const state::bill_record& record) -> void;

    auto bills() const -> const std::map<state::bill_key, state::bill_record>& { return bills_; }

    /// The number of records whose key was already present when they were added.
    auto duplicates() const -> std::size_t { return duplicates_; }

    auto total_of(const state::workspace_id& workspace) const -> state::micro_credits;

private:
    std::map<state::bill_key, state::bill_record> bills_;
    std::size_t duplicates_{0};
};

} // namespace buckthorndale::coordination::billing

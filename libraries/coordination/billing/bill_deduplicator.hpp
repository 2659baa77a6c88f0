#pragma once

#include "state/bill_key.hpp"
#include "state/bill_record.hpp"

#include <cstddef>
#include <map>

/// Keeping bill records until they are in the platform, and reading them back as one ledger.
namespace buckthorndale::coordination::billing {

/// Folds bill records into one bill for each key, whatever the order and however often each is read.
class bill_deduplicator {
public:
    /// Adds one record. Of records with the same key the one that was completed first is the bill.
    auto add(const state::bill_record& record) -> void;

    auto bills() const -> const std::map<state::bill_key, state::bill_record>& { return bills_; }

    /// Records that were another record of a bill already there.
    auto duplicates() const -> std::size_t { return duplicates_; }

    auto total_of(const state::workspace_id& workspace) const -> state::micro_credits;

private:
    std::map<state::bill_key, state::bill_record> bills_;
    std::size_t duplicates_{0};
};

} // namespace buckthorndale::coordination::billing

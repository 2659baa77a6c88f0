#pragma once

#include "coordination/billing/bill_deduplicator.hpp"

#include <cstddef>

namespace buckthorndale::services::agent {

/// What was read of the ledger.
struct ledger_reading {
    coordination::billing::bill_deduplicator bills_;
    /// Objects below the ledger's prefix that hold no segment, or one that cannot be read.
    std::size_t unreadable_{0};
};

} // namespace buckthorndale::services::agent

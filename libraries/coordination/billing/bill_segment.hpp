#pragma once

#include "state/bill_record.hpp"
#include "state/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::coordination::billing {

/// A batch of bill records, stored as one object in the platform. Its name is unique, so that repeating
/// the write is harmless.
struct bill_segment {
    state::instance_id writer_;
    state::incarnation writer_incarnation_;
    std::uint64_t number_{0};
    std::vector<state::bill_record> records_;

    auto operator==(const bill_segment&) const -> bool = default;
};

} // namespace buckthorndale::coordination::billing

#pragma once

#include "coordination/billing/record_id.hpp"
#include "state/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::coordination::billing {

/// An inclusive range of consecutive records of one router process.
struct sequence_range {
    state::instance_id origin_;
    state::incarnation incarnation_;
    std::uint64_t first_{0};
    std::uint64_t last_{0};

    auto contains(const record_id& id) const -> bool
    {
        return id.origin_ == origin_ && id.incarnation_ == incarnation_ && id.sequence_ >= first_ &&
               id.sequence_ <= last_;
    }

    auto operator==(const sequence_range&) const -> bool = default;
};

/// Records that are stored in the platform, so that their copies may be dropped.
struct written_ranges {
    std::vector<sequence_range> ranges_;
};

/// Merges records into the smallest number of ranges.
auto to_ranges(std::vector<record_id> records) -> written_ranges;

} // namespace buckthorndale::coordination::billing

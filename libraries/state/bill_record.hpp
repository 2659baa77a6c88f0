#pragma once

#include "state/bill_key.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <vector>

namespace buckthorndale::state {

/// The part of a bill that results from one attempt.
struct bill_part {
    version_key version_;
    token_count tokens_;
    micro_credits cost_;

    auto operator==(const bill_part&) const -> bool = default;
};

/// One bill for one request, with a part for each attempt that produced billable work.
struct bill_record {
    bill_key key_;
    profile_name profile_;
    /// The router process that answered. Together with the sequence, it tells copies of a record from
    /// further records of the same bill.
    instance_id origin_;
    incarnation origin_incarnation_;
    std::uint64_t sequence_{0};
    /// When the answer was complete.
    wall_time completed_;
    std::vector<bill_part> parts_;

    auto total() const -> micro_credits
    {
        auto sum = micro_credits{};
        for (const auto& part : parts_)
            sum += part.cost_;
        return sum;
    }

    auto operator==(const bill_record&) const -> bool = default;
};

} // namespace buckthorndale::state

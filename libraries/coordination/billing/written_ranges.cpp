#include "coordination/billing/written_ranges.hpp"

#include <algorithm>

namespace buckthorndale::coordination::billing {

namespace {

auto extends(const sequence_range& range, const record_id& id) -> bool
{
    return range.origin_ == id.origin_ && range.incarnation_ == id.incarnation_ &&
           range.last_ + 1 == id.sequence_;
}

} // namespace

auto to_ranges(std::vector<record_id> records) -> written_ranges
{
    std::ranges::sort(records);
    auto result = written_ranges{};
    for (const auto& id : records) {
        if (!result.ranges_.empty() && extends(result.ranges_.back(), id)) {
            result.ranges_.back().last_ = id.sequence_;
            continue;
        }
        result.ranges_.push_back({.origin_ = id.origin_,
                                  .incarnation_ = id.incarnation_,
                                  .first_ = id.sequence_,
                                  .last_ = id.sequence_});
    }
    return result;
}

} // namespace buckthorndale::coordination::billing

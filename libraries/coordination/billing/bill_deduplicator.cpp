#include "coordination/billing/bill_deduplicator.hpp"

#include <tuple>

namespace buckthorndale::coordination::billing {

namespace {

auto is_before(const state::bill_record& left, const state::bill_record& right) -> bool
{
    return std::tie(left.completed_, left.origin_, left.origin_incarnation_, left.sequence_) <
           std::tie(right.completed_, right.origin_, right.origin_incarnation_, right.sequence_);
}

} // namespace

auto bill_deduplicator::add(const state::bill_record& record) -> void
{
    const auto [place, is_new] = bills_.try_emplace(record.key_, record);
    if (is_new)
        return;
    ++duplicates_;
    if (is_before(record, place->second))
        place->second = record;
}

auto bill_deduplicator::total_of(const state::workspace_id& workspace) const -> state::micro_credits
{
    auto sum = state::micro_credits{};
    for (const auto& [key, record] : bills_) {
        if (key.workspace_ == workspace)
            sum += record.total();
    }
    return sum;
}

} // namespace buckthorndale::coordination::billing

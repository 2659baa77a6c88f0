#pragma once

#include "state/bill_record.hpp"
#include "state/identifiers.hpp"

#include <compare>
#include <cstdint>

namespace buckthorndale::coordination::billing {

/// Identifies a bill record by the router process that created it and its sequence number there.
struct record_id {
    state::instance_id origin_;
    state::incarnation incarnation_;
    std::uint64_t sequence_{0};

    auto operator<=>(const record_id&) const = default;
};

inline auto id_of(const state::bill_record& record) -> record_id
{
    return {
        .origin_ = record.origin_, .incarnation_ = record.origin_incarnation_, .sequence_ = record.sequence_};
}

} // namespace buckthorndale::coordination::billing

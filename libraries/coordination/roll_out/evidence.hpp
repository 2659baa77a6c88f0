#pragma once

#include <cstdint>

/// Decides when a version gets a larger share of the traffic and when its roll-out is halted.
namespace buckthorndale::coordination::roll_out {

/// Counts of good and bad answers. An answer is bad if it was rated low, failed or was far too slow.
struct evidence {
    std::int64_t good_{0};
    std::int64_t bad_{0};

    auto total() const -> std::int64_t { return good_ + bad_; }

    auto operator+=(const evidence& other) -> evidence&
    {
        good_ += other.good_;
        bad_ += other.bad_;
        return *this;
    }

    auto operator==(const evidence&) const -> bool = default;
};

} // namespace buckthorndale::coordination::roll_out

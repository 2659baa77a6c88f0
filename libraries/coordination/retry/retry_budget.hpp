#pragma once

#include <algorithm>

/// Limits on retries.
namespace buckthorndale::coordination::retry {

/// Allows retries in proportion to first attempts, so that they do not overload a failing pool.
class retry_budget {
public:
    /// Adds a fraction of a retry to the balance; to be called for each first attempt.
    auto earn() -> void { balance_ = std::min(balance_ + earned_per_attempt, max_balance); }

    auto has_retry() const -> bool { return balance_ >= 1.0; }

    /// Takes one retry from the balance. Returns false if less than one is left.
    auto try_spend() -> bool
    {
        if (!has_retry())
            return false;
        balance_ -= 1.0;
        return true;
    }

    /// Takes one retry for an answer that the caller has a part of; draws on a reserve when none is left.
    auto try_spend_reserve() -> bool
    {
        if (balance_ < 1.0 - reserve)
            return false;
        balance_ -= 1.0;
        return true;
    }

private:
    static constexpr double earned_per_attempt{0.2};
    static constexpr double max_balance{20.0};
    static constexpr double reserve{6.0};

    double balance_{max_balance / 2};
};

} // namespace buckthorndale::coordination::retry

#pragma once

#include <algorithm>

/// Bounds on attempts after the first.
namespace buckthorndale::coordination::retry {

/// Lets retries through in proportion to first attempts, so that a failing pool is not drowned by them.
class retry_budget {
public:
    /// Earns part of a retry for each first attempt.
    auto earn() -> void { balance_ = std::min(balance_ + earned_per_attempt, max_balance); }

    /// Takes one retry from the balance. Returns whether there was one.
    auto try_spend() -> bool
    {
        if (balance_ < 1.0)
            return false;
        balance_ -= 1.0;
        return true;
    }

private:
    static constexpr double earned_per_attempt{0.2};
    static constexpr double max_balance{20.0};

    double balance_{max_balance / 2};
};

} // namespace buckthorndale::coordination::retry

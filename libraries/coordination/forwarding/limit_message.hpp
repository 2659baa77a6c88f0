#pragma once

#include "coordination/forwarding/decline_news.hpp"
#include "coordination/forwarding/limit_news.hpp"
#include "coordination/forwarding/permit_transfer.hpp"

#include <vector>

namespace buckthorndale::coordination::forwarding {

/// What instances tell each other about how much endpoints take.
struct limit_message {
    std::vector<limit_news> limits_;
    std::vector<permit_transfer> wanted_permits_;
    /// Permits that the sender no longer has and the recipient may use.
    std::vector<permit_transfer> permits_;
    std::vector<decline_news> declines_;

    auto is_empty() const -> bool
    {
        return limits_.empty() && wanted_permits_.empty() && permits_.empty() && declines_.empty();
    }

    auto operator==(const limit_message&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

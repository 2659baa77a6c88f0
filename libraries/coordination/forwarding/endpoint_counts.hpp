#pragma once

#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// How many endpoints take less than usual, and why, for the metrics.
struct endpoint_counts {
    /// Endpoints that name a limit.
    std::size_t limited_{0};
    /// Endpoints that are cold.
    std::size_t cold_{0};
    /// Data centres whose endpoints are to get nothing.
    std::size_t emptied_data_centres_{0};
    /// This instance's requests that still run there.
    std::size_t running_at_emptied_{0};
};

} // namespace buckthorndale::coordination::forwarding

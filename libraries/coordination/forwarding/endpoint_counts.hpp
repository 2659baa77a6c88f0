#pragma once

#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// How many endpoints are not like the others, and why, for the metrics.
struct endpoint_counts {
    /// Endpoints that name a limit.
    std::size_t limited_{0};
    /// Endpoints that are cold.
    std::size_t cold_{0};
    /// Data centres whose endpoints are to get nothing.
    std::size_t emptied_data_centres_{0};
    /// This instance's requests that still run there.
    std::size_t running_at_emptied_{0};
    /// Endpoints that take clearly longer than the average one, and less long.
    std::size_t slow_{0};
    std::size_t fast_{0};
};

} // namespace buckthorndale::coordination::forwarding

#pragma once

#include "coordination/forwarding/endpoint_sum.hpp"

#include <vector>

namespace buckthorndale::coordination::forwarding {

/// What a router reports of each endpoint, in each scope.
template <endpoint_sum Sum>
struct endpoint_sum_report {
    std::vector<Sum> own_;
    std::vector<Sum> subtree_;
    std::vector<Sum> all_;
};

} // namespace buckthorndale::coordination::forwarding

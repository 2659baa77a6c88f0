#pragma once

#include "state/endpoint.hpp"
#include "state/member.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::state {

/// The platform's list of live and leaving instances. It may be out of date.
struct instance_list {
    /// The platform's version number of the list; a larger number is newer.
    std::uint64_t version_{0};
    std::vector<member> members_;
    std::vector<endpoint> endpoints_;

    auto operator==(const instance_list&) const -> bool = default;
};

} // namespace buckthorndale::state

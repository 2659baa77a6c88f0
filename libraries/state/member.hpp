#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"

namespace buckthorndale::state {

/// An entry instance of the system, with the addresses at which other instances reach its agent and router.
struct member {
    instance_id id_;
    data_centre_id data_centre_;
    network_address agent_;
    network_address router_;
    instance_state state_{instance_state::live};

    auto operator==(const member&) const -> bool = default;
};

} // namespace buckthorndale::state

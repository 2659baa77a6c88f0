#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::state {

enum class endpoint_kind : std::uint8_t { engine, service };

enum class instance_state : std::uint8_t { live, leaving };

/// A model engine or a plain service, as described in the instance list.
struct endpoint {
    endpoint_id id_;
    endpoint_kind kind_{endpoint_kind::engine};
    network_address address_;
    data_centre_id data_centre_;
    instance_state state_{instance_state::live};
    /// The versions an engine has loaded; empty for a service.
    std::vector<version_key> versions_;
    /// The service that a plain endpoint offers; empty for an engine.
    service_name service_;
    /// The number of requests that it runs concurrently before it queues.
    std::int32_t slots_{8};

    auto operator==(const endpoint&) const -> bool = default;
};

} // namespace buckthorndale::state

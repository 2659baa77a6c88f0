#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>

namespace buckthorndale::state {

/// An endpoint as described by its own registration.
struct registered_endpoint {
    endpoint_id id_;
    service_name service_;
    network_address address_;
    data_centre_id data_centre_;
    version_name version_;
    /// The number of requests that it runs concurrently.
    std::int32_t slots_{1};
    bool is_draining_{false};
    /// The start time reported by the endpoint, which distinguishes successive runs under one id.
    std::uint64_t incarnation_{0};
    /// The order of the registrations; 0 when unknown.
    std::uint64_t registered_at_{0};
    /// How much longer the endpoint is cold, as of the entry; unset if the entry does not say.
    std::optional<duration> cold_left_;
    /// The store's revision of the entry; 0 when unknown.
    std::uint64_t entry_revision_{0};

    auto operator==(const registered_endpoint&) const -> bool = default;
};

} // namespace buckthorndale::state

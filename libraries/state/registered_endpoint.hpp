#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"

#include <cstdint>

namespace buckthorndale::state {

/// An endpoint as it registered itself.
struct registered_endpoint {
    endpoint_id id_;
    service_name service_;
    network_address address_;
    data_centre_id data_centre_;
    version_name version_;
    /// Requests that it works on at once.
    std::int32_t slots_{1};
    bool is_draining_{false};
    /// When this life of the endpoint began, as it says itself; two lives under one id differ in it.
    std::uint64_t incarnation_{0};
    /// Orders the registrations; 0 when unknown.
    std::uint64_t registered_at_{0};

    auto operator==(const registered_endpoint&) const -> bool = default;
};

} // namespace buckthorndale::state

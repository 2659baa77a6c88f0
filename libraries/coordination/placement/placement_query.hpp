#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/version_key.hpp"

#include <set>

namespace buckthorndale::coordination::placement {

/// The requirements of a request on its endpoint.
struct placement_query {
    state::endpoint_kind kind_{state::endpoint_kind::engine};
    /// The version that an engine must serve.
    state::version_key version_;
    /// The service that a service endpoint must offer.
    state::service_name service_;
    state::content_fingerprint prefix_;
    /// Endpoints on which this request has already failed.
    std::set<state::endpoint_id> excluded_;
    /// Whether the request may have crashed an endpoint. The router gives an endpoint at most one such
    /// request at a time.
    bool is_suspect_{false};
};

} // namespace buckthorndale::coordination::placement

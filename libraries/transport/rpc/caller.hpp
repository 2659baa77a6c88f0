#pragma once

#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/client.hpp"

#include <json/value.h>

#include <cstdint>
#include <string>

namespace buckthorndale::transport::rpc {

/// Calls and bytes on control connections, for checking the budget of control traffic.
struct traffic_counters {
    std::uint64_t calls_{0};
    std::uint64_t sent_bytes_{0};
    std::uint64_t received_bytes_{0};
};

/// Calls JSON-RPC methods of other processes.
class caller {
public:
    explicit caller(http::client& client) : client_{client} {}

    /// Calls a method and returns its result. Throws http::client_error when no answer arrived, and
    /// state::error of kind invalid_request when the peer rejected the call.
    auto call(state::network_address peer, std::string method, Json::Value parameters,
              state::duration timeout) -> http::awaitable<Json::Value>;

    auto counters() const -> const traffic_counters& { return counters_; }

private:
    http::client& client_;
    traffic_counters counters_;
};

} // namespace buckthorndale::transport::rpc

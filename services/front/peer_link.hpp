#pragma once

#include "front/front_settings.hpp"
#include "protocol/peer/peer_message.hpp"
#include "state/network_address.hpp"
#include "transport/http/types.hpp"
#include "transport/logging/logger.hpp"

#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::services::front {

/// Exchanges UDP datagrams with the other instances.
class peer_link {
public:
    using message_callback = std::function<void(protocol::peer::peer_message)>;

    peer_link(transport::http::asio::io_context& context, const front_settings& settings,
              message_callback on_message);

    auto start() -> void;

    /// Replaces the control addresses of the other instances; the seeds are kept.
    auto set_peers(const std::vector<state::network_address>& peers) -> void;

    /// Sends a message to all instances. Delivery is not guaranteed.
    auto send_to_all(const protocol::peer::peer_message& message) -> void;

    /// Sends a message to the instances with these control addresses. Delivery is not guaranteed.
    auto send(const std::vector<state::network_address>& peers, const protocol::peer::peer_message& message)
        -> void;

    /// The control address of the instance that a random number selects; empty when none is known.
    auto random_peer(std::uint64_t random) const -> std::optional<state::network_address>;

private:
    auto receive() -> transport::http::awaitable<void>;

    state::network_address own_address_;
    std::uint16_t port_;
    std::set<state::network_address> seeds_;
    std::set<state::network_address> peers_;
    message_callback on_message_;
    transport::logging::logger log_{"peers"};
    transport::http::asio::ip::udp::socket socket_;
};

} // namespace buckthorndale::services::front

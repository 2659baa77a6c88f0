#pragma once

#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string_view>

/// A proxy for TCP connections on loopback that breaks them in the ways of a network.
namespace buckthorndale::utilities::fault_proxy {

enum class route_fault : std::uint8_t {
    none,
    /// Each portion arrives later.
    delay,
    /// Nothing comes back from the target until the fault ends.
    cut,
    /// Connections that are open now stay silent for good; new ones work.
    silence,
    /// Connections that are open now are reset.
    reset,
    /// Connections that are open now are reset, and new ones refused until the fault ends.
    refuse,
    /// New connections are refused until the fault ends.
    refuse_new,
    /// Connections that are open now stay silent for good; new ones are accepted and carry nothing.
    accept_silent,
    /// Connections that are open now are reset; new ones are accepted, and reset at their first bytes.
    accept_reset,
};

/// Throws error of kind invalid_request for anything else.
auto route_fault_from(std::string_view text) -> route_fault;

/// Passes connections to one address on to another.
class proxied_route {
public:
    /// Listens at once. Throws boost::system::system_error when the address is taken.
    proxied_route(transport::http::asio::io_context& context, const state::network_address& listen,
                  state::network_address target);

    auto start() -> void;

    auto set_fault(route_fault fault) -> void;

    /// Resets the connections that are open now, and passes new ones on to another address.
    auto set_target(const state::network_address& target) -> void;

private:
    using socket = transport::http::asio::ip::tcp::socket;

    struct connection {
        explicit connection(socket caller) : caller_{std::move(caller)}, target_{caller_.get_executor()} {}

        socket caller_;
        socket target_;
        bool is_silent_{false};
    };

    using connection_pointer = std::shared_ptr<connection>;

    auto accept() -> transport::http::awaitable<void>;
    auto reset_connections() -> void;
    auto set_listening(bool is_listening) -> void;
    auto serve(connection_pointer item) -> transport::http::awaitable<void>;
    /// Keeps a connection without its target until a fault of this kind or the connection ends.
    auto hold(connection_pointer item) -> transport::http::awaitable<void>;
    /// Passes bytes on in one direction until an end is closed.
    auto pass_on(connection_pointer item, bool is_answer) -> transport::http::awaitable<void>;
    auto wait_while_held(const connection& item, bool is_answer) -> transport::http::awaitable<void>;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;

    transport::http::asio::io_context& context_;
    transport::http::asio::ip::tcp::acceptor acceptor_;
    state::network_address listen_;
    state::network_address target_;
    route_fault fault_{route_fault::none};
    std::set<connection_pointer> connections_;
};

} // namespace buckthorndale::utilities::fault_proxy

#pragma once

#include "state/routing_table.hpp"
#include "transport/http/exchange.hpp"
#include "transport/http/server_settings.hpp"
#include "transport/http/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace buckthorndale::transport::http {

/// Answers one exchange. Errors that it throws become problem details.
using exchange_handler = std::function<awaitable<void>(exchange&)>;

/// Takes connections and reads requests from them, one after the other.
class server {
public:
    /// Throws error of kind invalid_settings when the address or the TLS files cannot be used.
    server(asio::io_context& context, server_settings settings, exchange_handler handler);

    /// Begins to take connections.
    auto start() -> void;

    /// Takes no new connections; the open ones end after the request they carry.
    auto stop_accepting() -> void;

    /// Takes new connections still, but ends each after the request it carries.
    auto announce_closing() -> void { shared_->is_stopping_ = true; }

    /// Closes the connections that carry no request now.
    auto close_idle() -> void;

    /// Takes over new bounds; they hold from the next request of each connection on.
    auto set_limits(const state::caller_limits& limits) -> void;

    /// The port in use, which the system chose when the settings say 0.
    auto port() const -> std::uint16_t;

    auto open_connections() const -> std::size_t { return shared_->open_connections_; }

private:
    /// What the connections share with the server; it outlives both.
    struct shared_state {
        server_settings settings_;
        exchange_handler handler_;
        std::size_t open_connections_{0};
        bool is_stopping_{false};
        /// How to close each connection that waits for a request.
        std::map<const void*, std::function<void()>> idle_;
    };

    template <typename Stream>
    class connection;

    auto accept_connections() -> awaitable<void>;
    auto serve(asio::ip::tcp::socket socket) -> awaitable<void>;

    asio::io_context& context_;
    std::shared_ptr<shared_state> shared_;
    asio::ip::tcp::acceptor acceptor_;
    std::optional<asio::ssl::context> tls_;
};

} // namespace buckthorndale::transport::http

#pragma once

#include "state/routing_table.hpp"
#include "transport/http/caller_share.hpp"
#include "transport/http/exchange.hpp"
#include "transport/http/server_counts.hpp"
#include "transport/http/server_settings.hpp"
#include "transport/http/types.hpp"
#include "transport/logging/line_budget.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace buckthorndale::transport::http {

/// Answers one exchange. Errors that it throws are sent as problem details (RFC 9457).
using exchange_handler = std::function<awaitable<void>(exchange&)>;

/// An HTTP server that handles the requests of each connection one after the other.
class server {
public:
    /// Throws error of kind invalid_settings when the address or the TLS files cannot be used.
    server(asio::io_context& context, server_settings settings, exchange_handler handler);

    /// Starts accepting connections.
    auto start() -> void;

    /// Stops accepting connections; open ones are closed after their current request.
    auto stop_accepting() -> void;

    /// Continues to accept connections, but closes each after its current request.
    auto announce_closing() -> void { shared_->is_stopping_ = true; }

    /// Closes the connections that have no request in progress.
    auto close_idle() -> void;

    /// Changes the limits; they apply from the next request of each connection.
    auto set_limits(const state::caller_limits& limits) -> void;

    /// The port in use; with port 0 in the settings, the one that the system assigned.
    auto port() const -> std::uint16_t;

    auto open_connections() const -> std::size_t { return shared_->counts_.open_connections_; }

    auto counts() const -> server_counts;

    /// Whether nearly as many connections are open as may be. It stays true until clearly fewer are open.
    auto is_crowded() const -> bool { return shared_->is_crowded_; }

private:
    /// Log lines about incomplete answers; further ones are only counted.
    static constexpr std::uint64_t max_incomplete_lines_per_second{20};

    /// State shared by the server and its connections; owned by all of them.
    struct shared_state {
        server_settings settings_;
        exchange_handler handler_;
        server_counts counts_;
        logging::line_budget incomplete_lines_{max_incomplete_lines_per_second};
        logging::line_budget memory_lines_{1};
        bool is_stopping_{false};
        bool is_crowded_{false};
        bool is_at_limit_{false};
        /// The value of refused_ when the limit was reached.
        std::uint64_t refused_before_{0};

        auto add_connection() -> void;
        auto remove_connection() -> void;
        auto record_limit_reached() -> void;
        /// Logs that the memory for callers is used up, once a second at most.
        auto record_memory_used_up() -> void;
        /// What a connection holds at least, with what lies unread in its socket.
        auto connection_bytes() const -> std::size_t;
        /// Closes a connection that is waiting for a request, by connection.
        std::map<const void*, std::function<void()>> idle_;
        /// Where all connections put what they read and discard.
        std::array<char, 16'384> discarded_{};
    };

    template <typename Stream>
    class connection;
    class connection_place;

    auto accept_connections() -> awaitable<void>;
    auto serve(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share) -> awaitable<void>;
    /// Answers a connection over the limits with 503, unless too many are being refused already.
    auto refuse(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share) -> awaitable<void>;
    /// Makes a connection of the socket and lets it run.
    template <typename Run>
    auto run_connection(asio::ip::tcp::socket socket, std::unique_ptr<caller_share> share, Run run)
        -> awaitable<void>;

    asio::io_context& context_;
    std::shared_ptr<shared_state> shared_;
    asio::ip::tcp::acceptor acceptor_;
    std::optional<asio::ssl::context> tls_;
};

} // namespace buckthorndale::transport::http

#pragma once

#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/answer_memory.hpp"
#include "transport/http/types.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::transport::http {

/// How a request failed. Tells whether the peer may have received it.
enum class client_fault : std::uint8_t {
    /// No byte of the request was sent.
    not_sent,
    /// No data arrived before the timeout.
    silent,
    /// The peer closed or reset the connection.
    closed,
    /// The peer sent invalid HTTP.
    malformed,
};

/// Thrown by client and response_stream.
class client_error : public std::runtime_error {
public:
    client_error(client_fault fault, const std::string& text) : std::runtime_error{text}, fault_{fault} {}

    auto fault() const -> client_fault { return fault_; }

private:
    client_fault fault_;
};

class client;

/// A response whose body is read as it arrives.
class response_stream {
public:
    using parser = beast::http::response_parser<beast::http::string_body>;

    response_stream(client& owner, state::network_address peer,
                    std::unique_ptr<beast::tcp_stream> connection);

    auto status() const -> unsigned { return parser_->get().result_int(); }

    auto header(std::string_view name) const -> std::string;

    /// Whether the body has neither a length nor chunks, so that it ends with its connection.
    auto ends_with_connection() const -> bool { return !parser_->chunked() && !parser_->content_length(); }

    /// Whether the peer has reset the connection, also after it had ended its side. A peer's system does so
    /// when the peer closes while bytes of the request are on their way, so that a body which ends with its
    /// connection may lack its rest. To be asked once.
    auto was_reset() -> bool;

    /// The status line and all response headers.
    auto head() const -> const parser::value_type::header_type& { return parser_->get().base(); }

    /// Waits for the headers of the final response. Throws client_error, also for a status that no response
    /// has.
    auto read_header(state::duration timeout) -> awaitable<void>;

    /// Reads the next chunk of the body; empty at its end. Throws client_error.
    auto read_some(state::duration timeout) -> awaitable<std::string>;

    /// Reads the rest of the body. Throws client_error, also when it is longer than `max_bytes`, or when all
    /// bodies that the client is reading so are too large together.
    auto read_all(state::duration timeout, std::size_t max_bytes) -> awaitable<std::string>;

    /// Returns the connection to the pool if the body was read to its end; otherwise closes it.
    auto release() -> void;

    /// Closes the connection, which the peer treats as a cancellation.
    auto cancel() -> void;

private:
    friend class client;

    static constexpr std::size_t max_buffered_bytes{131'072};
    /// Interim responses that may precede the final one.
    static constexpr int max_interim_responses{16};

    static auto make_parser() -> std::unique_ptr<parser>;
    /// Reads the headers of one response, which may be interim.
    auto read_one_header(std::chrono::steady_clock::time_point deadline) -> awaitable<void>;

    client* owner_;
    state::network_address peer_;
    std::unique_ptr<beast::tcp_stream> connection_;
    std::unique_ptr<parser> parser_;
    /// Holds what the parser cannot use yet, such as a part of a chunk's size, which a peer may send without
    /// end.
    beast::flat_buffer buffer_{max_buffered_bytes};
};

/// Sends requests to endpoints, agents and the platform; keeps idle connections for reuse.
class client {
public:
    /// For endpoints. A sound one, or the way to it, may fall silent for a second or more.
    static constexpr auto endpoint_max_unacknowledged = state::duration{std::chrono::seconds{4}};

    /// Connections break when the peer's system acknowledges nothing for about `max_unacknowledged`.
    explicit client(asio::io_context& context,
                    state::duration max_unacknowledged = default_max_unacknowledged)
        : context_{context}, max_unacknowledged_{max_unacknowledged}
    {}

    struct timeouts {
        state::duration connect_{std::chrono::milliseconds{500}};
        /// Until the response headers have arrived.
        state::duration first_byte_{std::chrono::seconds{2}};
        /// Between chunks of the body.
        state::duration between_chunks_{std::chrono::seconds{2}};
    };

    /// Sends a request and waits for the response headers. With `needs_new_connection`, no idle connection is
    /// reused. The body is as with send(). Throws client_error.
    auto open(const state::network_address& peer, request message, const timeouts& time_limits,
              bool needs_new_connection, std::string_view body = {})
        -> awaitable<std::unique_ptr<response_stream>>;

    /// Sends a request over a new connection, unless `is_wanted` returns false once that is open. The
    /// response headers are yet to be read. The body is that of the message, or `body`, which is not copied
    /// and must outlive the call. Throws client_error.
    auto send(const state::network_address& peer, request message, const timeouts& time_limits,
              const std::function<bool()>& is_wanted, std::string_view body = {})
        -> awaitable<std::unique_ptr<response_stream>>;

    /// Sends a request and reads the complete response. Throws client_error.
    auto fetch(const state::network_address& peer, request message, const timeouts& time_limits)
        -> awaitable<response>;

    /// Like fetch(), but over a connection that is opened for the request and closed after it.
    auto fetch_over_new_connection(const state::network_address& peer, request message,
                                   const timeouts& time_limits) -> awaitable<response>;

    /// Whether the peer accepts a connection within the timeout and keeps it open, or accepts a second one.
    /// A terminating process closes its listener last, so a single accepted connection is no evidence.
    auto is_reachable(const state::network_address& peer, state::duration timeout) -> awaitable<bool>;

    /// Whether bytes of a response to the request come back within the timeout, over a new connection. An
    /// accepted connection is no evidence, since proxies accept on behalf of hosts.
    auto answers(const state::network_address& peer, request message, state::duration timeout)
        -> awaitable<bool>;

    /// Closes all idle connections to a peer; used after one of them turned out to be dead.
    auto drop_idle(const state::network_address& peer) -> void { idle_.erase(peer); }

    auto context() -> asio::io_context& { return context_; }

private:
    friend class response_stream;

    auto connect(const state::network_address& peer, state::duration timeout)
        -> awaitable<std::unique_ptr<beast::tcp_stream>>;
    auto send_over(std::unique_ptr<beast::tcp_stream> connection, const state::network_address& peer,
                   request message, std::string_view body, state::duration timeout)
        -> awaitable<std::unique_ptr<response_stream>>;
    auto take_idle(const state::network_address& peer) -> std::unique_ptr<beast::tcp_stream>;
    auto keep_idle(const state::network_address& peer, std::unique_ptr<beast::tcp_stream> connection) -> void;

    static constexpr auto default_max_unacknowledged = state::duration{std::chrono::milliseconds{1200}};
    /// Maximum number of idle connections kept for each peer.
    static constexpr std::size_t max_idle_connections{32};
    /// Maximum size of all response bodies that are read as a whole at the same time.
    static constexpr std::size_t max_fetched_bytes{8'388'608};

    asio::io_context& context_;
    state::duration max_unacknowledged_;
    std::shared_ptr<answer_memory> body_memory_{std::make_shared<answer_memory>(max_fetched_bytes)};
    std::map<state::network_address, std::vector<std::unique_ptr<beast::tcp_stream>>> idle_;
};

} // namespace buckthorndale::transport::http

#include <utility>

#include "transport/http/client.hpp"

#include "transport/http/folded_line_check.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace buckthorndale::transport::http {

namespace {

using asio::use_awaitable;

/// A terminating process closes its listener within this time after its connections.
constexpr auto early_close_window = state::duration{std::chrono::milliseconds{50}};

auto to_client_error(boost::system::error_code code) -> client_error
{
    if (code == beast::error::timeout)
        return {client_fault::silent, "no data was received before the timeout"};
    const auto* const http_category = make_error_code(beast::http::error::bad_method).category().name();
    const auto is_cut =
        code == beast::http::error::end_of_stream || code == beast::http::error::partial_message;
    if (!is_cut && std::string_view{code.category().name()} == http_category)
        return {client_fault::malformed, code.message()};
    return {client_fault::closed, code.message()};
}

constexpr auto first_final_status = 200U;

/// Whether the status announces a later response to the same request. 101 would change the protocol, which
/// no request here asks for.
auto is_interim(unsigned status) -> bool
{
    constexpr auto first_interim = 100U;
    constexpr auto switching_protocols = 101U;
    return status >= first_interim && status < first_final_status && status != switching_protocols;
}

/// Whether the status ends a request (RFC 9110, section 15).
auto is_final(unsigned status) -> bool
{
    constexpr auto end_of_statuses = 600U;
    return status >= first_final_status && status < end_of_statuses;
}

auto text_of(asio::const_buffer bytes) -> std::string_view
{
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

/// Enables TCP keepalive, so that the system breaks a connection whose peer acknowledges nothing for this
/// long, give or take a second.
auto enable_keepalive_probes(asio::ip::tcp::socket& socket, state::duration max_unacknowledged) -> void
{
    constexpr auto idle_seconds = 1;
    constexpr auto interval_seconds = 1;
    const auto unacknowledged_milliseconds =
        static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(max_unacknowledged).count());
    const auto probes = std::max(1, unacknowledged_milliseconds / 1000);
    const auto set = [&](int level, int option, int value) {
        ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, idle_seconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, interval_seconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_milliseconds);
}

/// Whether an idle connection was closed by the peer or has unsolicited bytes.
auto is_unusable(beast::tcp_stream& connection) -> bool
{
    auto byte = char{};
    const auto received = ::recv(connection.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Whether the peer keeps a new connection open for early_close_window.
auto stays_open(beast::tcp_stream& connection) -> awaitable<bool>
{
    auto fault = boost::system::error_code{};
    auto byte = char{};
    connection.expires_after(early_close_window);
    co_await connection.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(use_awaitable, fault));
    co_return !fault || fault == beast::error::timeout;
}

} // namespace

response_stream::response_stream(client& owner, state::network_address peer,
                                 std::unique_ptr<beast::tcp_stream> connection)
    : owner_{&owner}, peer_{std::move(peer)}, connection_{std::move(connection)}, parser_{make_parser()}
{}

auto response_stream::make_parser() -> std::unique_ptr<parser>
{
    auto made = std::make_unique<parser>();
    made->body_limit(boost::none);
    return made;
}

auto response_stream::header(std::string_view name) const -> std::string
{
    const auto& fields = parser_->get();
    const auto found = fields.find(beast::string_view{name.data(), name.size()});
    return found == fields.end() ? std::string{} : std::string{found->value()};
}

auto response_stream::was_reset() -> bool
{
    auto fault = 0;
    auto size = socklen_t{sizeof(fault)};
    const auto is_known =
        ::getsockopt(connection_->socket().native_handle(), SOL_SOCKET, SO_ERROR, &fault, &size) == 0;
    return is_known && fault != 0;
}

auto response_stream::read_header(state::duration timeout) -> awaitable<void>
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    co_await read_one_header(deadline);
    for (auto count = 0; is_interim(status()); ++count) {
        if (count == max_interim_responses)
            throw client_error{client_fault::malformed, "no final response follows the interim ones"};
        parser_ = make_parser();
        co_await read_one_header(deadline);
    }
    if (!is_final(status()))
        throw client_error{client_fault::malformed,
                           "the status " + std::to_string(status()) + " is no final response's"};
}

auto response_stream::read_one_header(std::chrono::steady_clock::time_point deadline) -> awaitable<void>
{
    constexpr auto portion_size = std::size_t{4096};
    auto check = folded_line_check{};
    auto unchecked = text_of(buffer_.data());
    connection_->expires_at(deadline);
    while (true) {
        // The parser joins such a line to the value before it, which may be what signs the answer.
        if (check.feed(unchecked))
            throw client_error{client_fault::malformed, "a line of the headers begins with a blank"};
        auto fault = boost::system::error_code{};
        if (buffer_.size() > 0)
            buffer_.consume(parser_->put(buffer_.data(), fault));
        if (fault && fault != beast::http::error::need_more)
            throw to_client_error(fault);
        if (parser_->is_header_done())
            co_return;
        const auto portion = buffer_.prepare(portion_size);
        const auto received =
            co_await connection_->async_read_some(portion, asio::redirect_error(use_awaitable, fault));
        if (fault)
            throw to_client_error(fault);
        buffer_.commit(received);
        unchecked = text_of(asio::buffer(portion, received));
    }
}

auto response_stream::read_some(state::duration timeout) -> awaitable<std::string>
{
    while (!parser_->is_done()) {
        auto fault = boost::system::error_code{};
        connection_->expires_after(timeout);
        co_await beast::http::async_read_some(*connection_, buffer_, *parser_,
                                              asio::redirect_error(use_awaitable, fault));
        if (fault)
            throw to_client_error(fault);
        auto chunk = std::exchange(parser_->get().body(), {});
        if (!chunk.empty())
            co_return chunk;
    }
    co_return std::string{};
}

auto response_stream::read_all(state::duration timeout, std::size_t max_bytes) -> awaitable<std::string>
{
    // Outlives the client if its coroutines are destroyed later.
    const auto memory = owner_->body_memory_;
    auto share = answer_memory::share{*memory};
    auto body = std::string{};
    while (true) {
        const auto chunk = co_await read_some(timeout);
        if (chunk.empty())
            co_return body;
        if (body.size() + chunk.size() > max_bytes)
            throw client_error{client_fault::malformed, "the response body is too large"};
        if (!share.try_resize(body.size() + chunk.size()))
            throw client_error{client_fault::malformed, "the response bodies are too large together"};
        body.append(chunk);
    }
}

auto response_stream::release() -> void
{
    if (!connection_)
        return;
    if (parser_->is_done() && parser_->get().keep_alive() && buffer_.size() == 0)
        owner_->keep_idle(peer_, std::move(connection_));
    connection_.reset();
}

auto response_stream::cancel() -> void
{
    if (connection_)
        connection_->close();
}

auto client::open(const state::network_address& peer, request message, const timeouts& time_limits,
                  bool needs_new_connection, std::string_view body)
    -> awaitable<std::unique_ptr<response_stream>>
{
    auto connection = needs_new_connection ? nullptr : take_idle(peer);
    const auto is_reused = connection != nullptr;
    if (!connection)
        connection = co_await connect(peer, time_limits.connect_);
    try {
        auto stream = co_await send_over(std::move(connection), peer, std::move(message), body,
                                         time_limits.first_byte_);
        co_await stream->read_header(time_limits.first_byte_);
        co_return stream;
    } catch (const client_error& fault) {
        // Connections to a peer fall silent together.
        if (is_reused && fault.fault() == client_fault::silent)
            drop_idle(peer);
        throw;
    }
}

auto client::send(const state::network_address& peer, request message, const timeouts& time_limits,
                  const std::function<bool()>& is_wanted, std::string_view body)
    -> awaitable<std::unique_ptr<response_stream>>
{
    auto connection = co_await connect(peer, time_limits.connect_);
    if (!is_wanted())
        throw client_error{client_fault::not_sent, "the request is no longer wanted"};
    co_return co_await send_over(std::move(connection), peer, std::move(message), body,
                                 time_limits.first_byte_);
}

auto client::send_over(std::unique_ptr<beast::tcp_stream> connection, const state::network_address& peer,
                       request message, std::string_view body, state::duration timeout)
    -> awaitable<std::unique_ptr<response_stream>>
{
    if (message.find(beast::http::field::host) == message.end())
        message.set(beast::http::field::host, peer.text());
    if (body.empty())
        message.prepare_payload();
    else
        message.content_length(body.size());
    auto fault = boost::system::error_code{};
    connection->expires_after(timeout);
    const auto wire = to_wire(message);
    const auto parts = std::array<asio::const_buffer, 2>{asio::buffer(wire), asio::buffer(body)};
    co_await asio::async_write(*connection, parts, asio::redirect_error(use_awaitable, fault));
    // Some bytes may have been sent before the write failed, so client_fault::not_sent would be wrong.
    if (fault)
        throw to_client_error(fault);
    co_return std::make_unique<response_stream>(*this, peer, std::move(connection));
}

auto client::fetch(const state::network_address& peer, request message, const timeouts& time_limits)
    -> awaitable<response>
{
    const auto stream = co_await open(peer, std::move(message), time_limits, false);
    auto body = co_await stream->read_all(time_limits.between_chunks_, max_fetched_bytes);
    auto answer = response{stream->parser_->get().base()};
    answer.body() = std::move(body);
    stream->release();
    co_return answer;
}

auto client::fetch_over_new_connection(const state::network_address& peer, request message,
                                       const timeouts& time_limits) -> awaitable<response>
{
    const auto stream = co_await open(peer, std::move(message), time_limits, true);
    auto body = co_await stream->read_all(time_limits.between_chunks_, max_fetched_bytes);
    auto answer = response{stream->parser_->get().base()};
    answer.body() = std::move(body);
    stream->cancel();
    co_return answer;
}

auto client::is_reachable(const state::network_address& peer, state::duration timeout) -> awaitable<bool>
{
    try {
        const auto connection = co_await connect(peer, timeout);
        const auto is_still_open = co_await stays_open(*connection);
        if (is_still_open)
            co_return true;
        co_await connect(peer, timeout);
        co_return true;
    } catch (const client_error&) {
        co_return false;
    }
}

auto client::answers(const state::network_address& peer, request message, state::duration timeout)
    -> awaitable<bool>
{
    try {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        const auto stream =
            co_await send_over(co_await connect(peer, timeout), peer, std::move(message), {}, timeout);
        auto fault = boost::system::error_code{};
        auto byte = char{};
        stream->connection_->expires_at(deadline);
        co_await stream->connection_->async_read_some(asio::buffer(&byte, 1),
                                                      asio::redirect_error(use_awaitable, fault));
        co_return !fault;
    } catch (const client_error&) {
        co_return false;
    }
}

auto client::connect(const state::network_address& peer, state::duration timeout)
    -> awaitable<std::unique_ptr<beast::tcp_stream>>
{
    auto connection = std::make_unique<beast::tcp_stream>(context_);
    auto fault = boost::system::error_code{};
    connection->expires_after(timeout);
    co_await connection->async_connect(to_socket_address(peer), asio::redirect_error(use_awaitable, fault));
    if (fault)
        throw client_error{client_fault::not_sent, fault.message()};
    connection->socket().set_option(asio::ip::tcp::no_delay{true}, fault);
    enable_keepalive_probes(connection->socket(), max_unacknowledged_);
    co_return connection;
}

auto client::take_idle(const state::network_address& peer) -> std::unique_ptr<beast::tcp_stream>
{
    const auto found = idle_.find(peer);
    if (found == idle_.end())
        return nullptr;
    auto& connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!is_unusable(*connection))
            return connection;
    }
    return nullptr;
}

auto client::keep_idle(const state::network_address& peer, std::unique_ptr<beast::tcp_stream> connection)
    -> void
{
    connection->expires_never();
    auto& connections = idle_[peer];
    if (connections.size() < max_idle_connections)
        connections.push_back(std::move(connection));
}

} // namespace buckthorndale::transport::http

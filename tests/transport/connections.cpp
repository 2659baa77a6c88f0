#include "transport/http/client.hpp"
#include "transport/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace buckthorndale::tests {

namespace asio = boost::asio;
namespace http = transport::http;

namespace {

constexpr auto probe_timeout = state::duration{std::chrono::milliseconds{200}};

auto local_address() -> asio::ip::tcp::endpoint
{
    return {asio::ip::address_v4::loopback(), 0};
}

auto address_of(const asio::ip::tcp::acceptor& acceptor) -> state::network_address
{
    return {.host_ = "127.0.0.1", .port_ = acceptor.local_endpoint().port()};
}

/// Checks whether the peer is reachable; its listener is closed after `closes_after`, if given.
auto probe(asio::ip::tcp::acceptor& acceptor, asio::io_context& context,
           std::optional<std::chrono::milliseconds> closes_after) -> bool
{
    auto client = http::client{context};
    const auto address = address_of(acceptor);
    auto found = std::optional<bool>{};
    asio::co_spawn(
        context, client.is_reachable(address, probe_timeout),
        [&found](const std::exception_ptr& /*fault*/, bool is_reachable) { found = is_reachable; });
    auto timer = asio::steady_timer{context};
    if (closes_after) {
        timer.expires_after(*closes_after);
        timer.async_wait([&acceptor](boost::system::error_code /*fault*/) { acceptor.close(); });
    }
    context.run();
    return found.value_or(false);
}

/// A server on its own thread that rejects bodies over 1024 bytes.
class small_body_server {
public:
    small_body_server()
        : server_{context_,
                  {.address_ = {.host_ = "127.0.0.1", .port_ = 0}, .max_body_bytes_ = 1024},
                  [](http::exchange& exchange) { return answer(exchange); }}
    {
        server_.start();
        thread_ = std::thread{[this] { context_.run(); }};
    }

    ~small_body_server()
    {
        context_.stop();
        thread_.join();
    }

    small_body_server(const small_body_server&) = delete;
    auto operator=(const small_body_server&) -> small_body_server& = delete;

    auto port() const -> std::uint16_t { return server_.port(); }

private:
    static auto answer(http::exchange& exchange) -> http::awaitable<void>
    {
        co_await exchange.send(http::make_response(200, "text/plain", "served"));
    }

    asio::io_context context_;
    http::server server_;
    std::thread thread_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(connections)

BOOST_AUTO_TEST_CASE(listening_peer_is_reachable)
{
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor{context, local_address()};
    BOOST_CHECK(probe(acceptor, context, std::nullopt));
}

BOOST_AUTO_TEST_CASE(dying_peer_is_not_reachable)
{
    // A terminating process closes its connections before its listener, so it may still accept a probe.
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor{context, local_address()};
    BOOST_CHECK(!probe(acceptor, context, std::chrono::milliseconds{10}));
}

BOOST_AUTO_TEST_CASE(refusal_reaches_a_caller_that_is_still_sending)
{
    const auto server = small_body_server{};
    auto context = asio::io_context{};
    auto socket = asio::ip::tcp::socket{context};
    socket.connect({asio::ip::address_v4::loopback(), server.port()});
    constexpr auto body_size = std::size_t{5'000'000};
    const auto head = "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n";
    auto fault = boost::system::error_code{};
    asio::write(socket, asio::buffer(head + std::string(body_size, 'x')), fault);
    // A caller whose write fails may give up without reading the response.
    BOOST_CHECK_MESSAGE(!fault, "The caller's sending failed: " + fault.message());
    auto answer = std::string{};
    asio::read(socket, asio::dynamic_buffer(answer), fault);
    BOOST_CHECK_EQUAL(answer.substr(0, 12), "HTTP/1.1 413");
}

BOOST_AUTO_TEST_CASE(a_body_is_sent_beside_its_head)
{
    auto context = asio::io_context{};
    const auto body = std::string(1000, 'b');
    auto received = std::string{};
    auto server = http::server{context,
                               {.address_ = {.host_ = "127.0.0.1", .port_ = 0}},
                               [&received](http::exchange& exchange) -> http::awaitable<void> {
                                   received = exchange.message().body();
                                   co_await exchange.send(http::make_response(200, "text/plain", "ok"));
                               }};
    server.start();
    auto client = http::client{context};
    const auto send = [&]() -> http::awaitable<void> {
        const auto peer = state::network_address{.host_ = "127.0.0.1", .port_ = server.port()};
        const auto timeouts = http::client::timeouts{};
        auto head = http::request{http::beast::http::verb::post, "/", 11};
        // A caller's chunks or length are not those of the body that is sent.
        head.set(http::beast::http::field::content_length, "7");
        const auto is_wanted = [] { return true; };
        const auto stream = co_await client.send(peer, head, timeouts, is_wanted, body);
        co_await stream->read_header(std::chrono::seconds{2});
        context.stop();
    };
    asio::co_spawn(context, send, [](const std::exception_ptr& fault) { BOOST_CHECK(!fault); });
    context.run_for(std::chrono::seconds{5});
    BOOST_TEST(received == body);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

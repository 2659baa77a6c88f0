#include "transport/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <string>

namespace buckthorndale::tests {

namespace asio = boost::asio;
namespace http = transport::http;

namespace {

using namespace std::chrono_literals;

constexpr auto body_size = std::size_t{16'000'000};
constexpr auto silence = 2500ms;
constexpr auto response = std::string_view{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};

/// Accepts a connection, reads nothing for a while, then reads the request and responds.
auto serve_after_silence(asio::ip::tcp::acceptor& acceptor) -> http::awaitable<void>
{
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    auto timer = asio::steady_timer{acceptor.get_executor(), silence};
    co_await timer.async_wait(asio::use_awaitable);
    auto bytes = std::array<char, 65'536>{};
    for (auto received = std::size_t{0}; received < body_size;)
        received += co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
    co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
}

auto send_large_request(http::client& client, const state::network_address& peer) -> http::awaitable<unsigned>
{
    auto message = http::request{http::beast::http::verb::post, "/", 11};
    message.body() = std::string(body_size, 'x');
    const auto stream = co_await client.open(peer, std::move(message), {.first_byte_ = 8s}, true);
    co_return stream->status();
}

} // namespace

BOOST_AUTO_TEST_SUITE(silent_peers)

BOOST_AUTO_TEST_CASE(a_request_survives_a_peer_that_reads_nothing_for_some_seconds)
{
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    auto client = http::client{context, 4s};
    const auto peer = state::network_address{.host_ = "127.0.0.1", .port_ = acceptor.local_endpoint().port()};
    auto status = 0U;
    asio::co_spawn(context, serve_after_silence(acceptor), asio::detached);
    asio::co_spawn(
        context, send_large_request(client, peer),
        [&status](const std::exception_ptr& fault, unsigned found) { status = fault ? 0 : found; });
    context.run();
    BOOST_TEST(status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

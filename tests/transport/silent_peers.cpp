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

/// Answers requests on each connection until the connections are silenced; later ones are answered again.
class silenced_server {
public:
    explicit silenced_server(asio::io_context& context)
        : acceptor_{context, {asio::ip::address_v4::loopback(), 0}}
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    auto address() const -> state::network_address
    {
        return {.host_ = "127.0.0.1", .port_ = acceptor_.local_endpoint().port()};
    }

    auto silence_connections() -> void { first_answered_ = accepted_; }

    auto stop() -> void { acceptor_.close(); }

private:
    auto accept() -> http::awaitable<void>
    {
        while (true) {
            auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket), accepted_++), asio::detached);
        }
    }

    auto serve(asio::ip::tcp::socket socket, int number) -> http::awaitable<void>
    {
        auto bytes = std::array<char, 65'536>{};
        while (true) {
            co_await socket.async_read_some(asio::buffer(bytes), asio::use_awaitable);
            if (number >= first_answered_)
                co_await asio::async_write(socket, asio::buffer(response), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor acceptor_;
    int accepted_{0};
    int first_answered_{0};
};

auto fetch_once(http::client& client, state::network_address peer) -> http::awaitable<bool>
{
    try {
        co_await client.fetch(peer, http::request{http::beast::http::verb::get, "/", 11},
                              {.first_byte_ = 200ms});
        co_return true;
    } catch (const http::client_error&) {
        co_return false;
    }
}

auto fetch_after_silence(http::client& client, silenced_server& server, int& failed) -> http::awaitable<void>
{
    constexpr auto idle_connections = 3;
    constexpr auto fetches = 4;
    auto timer = asio::steady_timer{client.context(), 100ms};
    for (auto i = 0; i < idle_connections; ++i)
        asio::co_spawn(client.context(), fetch_once(client, server.address()), asio::detached);
    co_await timer.async_wait(asio::use_awaitable);
    server.silence_connections();
    for (auto i = 0; i < fetches; ++i) {
        const auto is_answered = co_await fetch_once(client, server.address());
        failed += is_answered ? 0 : 1;
    }
    server.stop();
    client.drop_idle(server.address());
}

} // namespace

BOOST_AUTO_TEST_SUITE(silent_peers)

/// Guards against reads that fail one after the other over connections that fell silent together.
BOOST_AUTO_TEST_CASE(a_silent_idle_connection_costs_one_request)
{
    auto context = asio::io_context{};
    auto server = silenced_server{context};
    auto client = http::client{context};
    auto failed = 0;
    asio::co_spawn(context, fetch_after_silence(client, server, failed), asio::detached);
    context.run_for(5s);
    BOOST_TEST(failed == 1);
}

/// Guards against a connection that was accepted on behalf of a host which is out of reach.
BOOST_AUTO_TEST_CASE(a_peer_that_accepts_and_sends_nothing_does_not_answer)
{
    auto context = asio::io_context{};
    // The system accepts for a listener that nobody serves.
    auto listener = asio::ip::tcp::acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    const auto silent =
        state::network_address{.host_ = "127.0.0.1", .port_ = listener.local_endpoint().port()};
    auto server = silenced_server{context};
    const auto answering = server.address();
    auto client = http::client{context};
    auto answers = std::array<int, 2>{};
    const auto ask = [&](const state::network_address& peer, int& answer) {
        asio::co_spawn(
            context, client.answers(peer, http::request{http::beast::http::verb::get, "/", 11}, 200ms),
            [&answer](const std::exception_ptr& fault, bool found) { answer = !fault && found ? 1 : -1; });
    };
    ask(silent, answers[0]);
    ask(answering, answers[1]);
    context.run_for(1s);
    server.stop();
    context.run_for(100ms);
    BOOST_TEST(answers[0] == -1);
    BOOST_TEST(answers[1] == 1);
}

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

#include "transport/http/server.hpp"

#include <boost/asio/connect.hpp>
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

/// A server whose event loop the test steps, with one connection to it.
struct stepped_server {
    explicit stepped_server(http::server_settings settings)
        : server_{context_, std::move(settings),
                  [this](http::exchange& exchange) { return answer(exchange); }}
    {
        server_.start();
        caller_.connect({asio::ip::address_v4::loopback(), server_.port()});
    }

    auto answer(http::exchange& exchange) -> http::awaitable<void>
    {
        ++served_;
        co_await exchange.send(http::make_response(200, "text/plain", "served"));
    }

    auto send(const std::string& bytes) -> void { asio::write(caller_, asio::buffer(bytes)); }

    /// What has arrived at the caller.
    auto received() -> std::string
    {
        auto bytes = std::array<char, 4096>{};
        auto ignored = boost::system::error_code{};
        caller_.non_blocking(true);
        const auto size = caller_.read_some(asio::buffer(bytes), ignored);
        return {bytes.data(), size};
    }

    asio::io_context context_;
    int served_{0};
    http::server server_;
    asio::io_context caller_context_;
    asio::ip::tcp::socket caller_{caller_context_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(idle_connections)

BOOST_AUTO_TEST_CASE(closing_idle_connections_dropped_the_answer_to_a_request_that_had_just_been_read)
{
    auto where = stepped_server{{.address_ = {.host_ = "127.0.0.1", .port_ = 0}}};
    where.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
    // Idle connections are closed after every step of the event loop.
    const auto until = std::chrono::steady_clock::now() + 500ms;
    while (std::chrono::steady_clock::now() < until) {
        if (where.context_.poll_one() > 0)
            where.server_.close_idle();
    }
    BOOST_TEST(where.served_ == 1);
    BOOST_TEST(where.received().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(limits_raised_while_a_connection_was_idle_did_not_hold_for_its_next_request)
{
    auto where = stepped_server{{.address_ = {.host_ = "127.0.0.1", .port_ = 0}, .max_body_bytes_ = 10}};
    where.context_.run_for(100ms);
    auto limits = state::caller_limits{};
    limits.largest_body_ = 1000;
    where.server_.set_limits(limits);
    where.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'));
    where.context_.run_for(200ms);
    BOOST_TEST(where.received().starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

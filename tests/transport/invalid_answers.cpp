#include "transport/http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <string>

namespace buckthorndale::tests {

namespace asio = boost::asio;
namespace http = transport::http;

namespace {

constexpr auto timeout = state::duration{std::chrono::seconds{2}};

/// What a client made of an answer: the response, or the fault.
struct reading {
    std::optional<http::response> response_;
    std::optional<http::client_fault> fault_;
};

/// Accepts one connection and answers the request on it with the given bytes.
auto serve(asio::ip::tcp::acceptor& acceptor, std::string bytes) -> http::awaitable<void>
{
    auto fault = boost::system::error_code{};
    auto connection = co_await acceptor.async_accept(asio::use_awaitable);
    auto request = std::string{};
    co_await asio::async_read_until(connection, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::use_awaitable);
    // The client may close as soon as it has found a fault.
    co_await asio::async_write(connection, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, fault));
}

auto fetch(http::client& client, state::network_address peer, reading& result) -> http::awaitable<void>
{
    auto message = http::request{http::beast::http::verb::get, "/", 11};
    const auto timeouts =
        http::client::timeouts{.connect_ = timeout, .first_byte_ = timeout, .between_chunks_ = timeout};
    try {
        result.response_ = co_await client.fetch(peer, std::move(message), timeouts);
    } catch (const http::client_error& error) {
        result.fault_ = error.fault();
    }
}

/// Lets a client fetch an answer that consists of the given bytes and ends with its connection.
auto read_answer(const std::string& bytes) -> reading
{
    auto context = asio::io_context{};
    auto acceptor = asio::ip::tcp::acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    const auto peer = state::network_address{.host_ = "127.0.0.1", .port_ = acceptor.local_endpoint().port()};
    auto client = http::client{context};
    auto result = reading{};
    asio::co_spawn(context, serve(acceptor, bytes), [](const std::exception_ptr& /*fault*/) {});
    asio::co_spawn(context, fetch(client, peer, result), [](const std::exception_ptr& fault) {
        if (fault)
            std::rethrow_exception(fault);
    });
    context.run();
    return result;
}

auto is_malformed(const reading& found) -> bool
{
    return !found.response_ && found.fault_ == http::client_fault::malformed;
}

auto three_digits(unsigned number) -> std::string
{
    auto text = std::to_string(number);
    return std::string(3 - text.size(), '0') + text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(invalid_answers)

BOOST_AUTO_TEST_CASE(only_statuses_that_end_a_request_are_read)
{
    constexpr auto statuses = 1000U;
    constexpr auto first_final = 200U;
    constexpr auto end_of_final = 600U;
    for (auto status = 0U; status < statuses; ++status) {
        const auto found =
            read_answer("HTTP/1.1 " + three_digits(status) + " Text\r\nContent-Length: 0\r\n\r\n");
        const auto is_final = status >= first_final && status < end_of_final;
        BOOST_CHECK_MESSAGE(is_final == found.response_.has_value(), "status " << status);
        if (found.response_)
            BOOST_CHECK_EQUAL(found.response_->result_int(), status);
    }
}

BOOST_AUTO_TEST_CASE(the_final_response_follows_interim_ones)
{
    const auto final = std::string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"};
    for (const auto* interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n",
          "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Text\r\nContent-Length: 9\r\n\r\n"}) {
        const auto found = read_answer(interim + final);
        BOOST_REQUIRE_MESSAGE(found.response_, interim);
        BOOST_CHECK_EQUAL(found.response_->result_int(), 200U);
        BOOST_CHECK_EQUAL(found.response_->body(), "body");
        BOOST_CHECK_EQUAL(found.response_->count("X-Hint"), 0U);
    }
}

BOOST_AUTO_TEST_CASE(interim_responses_alone_are_no_answer)
{
    constexpr auto many = 1000;
    auto bytes = std::string{};
    for (auto count = 0; count < many; ++count)
        bytes += "HTTP/1.1 100 Continue\r\n\r\n";
    BOOST_CHECK(is_malformed(read_answer(bytes)));
    const auto found = read_answer("HTTP/1.1 100 Continue\r\n\r\n");
    BOOST_CHECK(!found.response_ && found.fault_ == http::client_fault::closed);
}

BOOST_AUTO_TEST_CASE(names_of_fields_are_tokens)
{
    constexpr auto bytes = 256;
    const auto others = std::string{"!#$%&'*+-.^_`|~"};
    for (auto byte = 0; byte < bytes; ++byte) {
        const auto character = static_cast<char>(byte);
        const auto is_letter_or_digit = (character >= 'a' && character <= 'z') ||
                                        (character >= 'A' && character <= 'Z') ||
                                        (character >= '0' && character <= '9');
        const auto is_token = is_letter_or_digit || others.find(character) != std::string::npos;
        // A colon ends the name.
        if (character == ':')
            continue;
        const auto line = std::string{"X"} + character + "Y: 1\r\n";
        for (const auto& head : {line + "Content-Length: 0\r\n", "Content-Length: 0\r\n" + line}) {
            const auto found = read_answer("HTTP/1.1 200 OK\r\n" + head + "\r\n");
            BOOST_CHECK_MESSAGE(is_token == found.response_.has_value(), "byte " << byte);
            BOOST_CHECK(is_token || is_malformed(found));
        }
    }
    BOOST_CHECK(is_malformed(read_answer("HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 0\r\n\r\n")));
}

BOOST_AUTO_TEST_CASE(lines_of_the_head_do_not_begin_with_a_blank)
{
    for (const auto* line : {" X: 1", "\tX: 1", " ", "\t", " \t1"}) {
        const auto broken = std::string{line} + "\r\n";
        BOOST_CHECK(is_malformed(read_answer("HTTP/1.1 200 OK\r\n" + broken + "Content-Length: 0\r\n\r\n")));
        BOOST_CHECK(is_malformed(read_answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + broken + "\r\n")));
        BOOST_CHECK(is_malformed(
            read_answer("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: 1\r\n" + broken + "\r\n")));
        const auto body = read_answer("HTTP/1.1 200 OK\r\nX: 1\r\n\r\n" + broken);
        BOOST_REQUIRE(body.response_);
        BOOST_CHECK_EQUAL(body.response_->body(), broken);
    }
}

BOOST_AUTO_TEST_CASE(heads_in_many_pieces_are_read)
{
    constexpr auto fields = 100;
    auto head = std::string{"HTTP/1.1 200 OK\r\n"};
    for (auto count = 0; count < fields; ++count)
        head += "X-Field-" + std::to_string(count) + ": " + std::string(50, 'v') + "\r\n";
    const auto found = read_answer(head + "Content-Length: 4\r\n\r\nbody");
    BOOST_REQUIRE(found.response_);
    BOOST_CHECK_EQUAL(found.response_->body(), "body");
    BOOST_CHECK_EQUAL(std::string{found.response_->at("X-Field-99")}, std::string(50, 'v'));
    constexpr auto above_the_limit = std::size_t{10'000};
    BOOST_CHECK(
        is_malformed(read_answer("HTTP/1.1 200 OK\r\nX: " + std::string(above_the_limit, 'v') + "\r\n\r\n")));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include <utility>

#include "raw_stand_in/raw_listener.hpp"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <exception>

namespace buckthorndale::utilities::raw_stand_in {

namespace http = transport::http;
namespace asio = http::asio;

namespace {

constexpr auto echo_mark = "@echo@";
/// Bytes written at a time of what is repeated.
constexpr auto portion_size = std::size_t{16'384};
/// After an end and before the reset that follows it.
constexpr auto reset_delay = std::chrono::milliseconds{5};

auto reset(asio::ip::tcp::socket& connection) -> void
{
    auto ignored = boost::system::error_code{};
    connection.set_option(asio::socket_base::linger{true, 0}, ignored);
    connection.close(ignored);
}

} // namespace

raw_listener::raw_listener(asio::io_context& context, const state::network_address& address,
                           std::string echoed_header)
    : context_{context}, acceptor_{context, http::to_socket_address(address)},
      echoed_header_{std::move(echoed_header)}
{}

auto raw_listener::start() -> void
{
    // Peers close the connection of an answer without end.
    asio::co_spawn(context_, accept(), [](const std::exception_ptr& /*fault*/) {});
}

auto raw_listener::set_answer(raw_answer answer) -> void
{
    answer_ = std::move(answer);
    arrivals_ = 0;
}

auto raw_listener::arrivals_of(const std::string& value) const -> std::uint64_t
{
    const auto found = arrivals_by_value_.find(value);
    return found == arrivals_by_value_.end() ? 0 : found->second;
}

auto raw_listener::accept() -> http::awaitable<void>
{
    while (true) {
        auto connection = co_await acceptor_.async_accept(asio::use_awaitable);
        asio::co_spawn(context_, serve(std::move(connection)), [](const std::exception_ptr& /*fault*/) {});
    }
}

auto raw_listener::serve(socket connection) -> http::awaitable<void>
{
    auto buffer = http::beast::flat_buffer{};
    auto parser = http::beast::http::request_parser<http::beast::http::string_body>{};
    parser.body_limit(boost::none);
    co_await http::beast::http::async_read_header(connection, buffer, parser, asio::use_awaitable);
    // Health checks do not have the header that is echoed.
    const auto echoed = http::header_text(parser.get(), echoed_header_);
    if (!echoed.empty()) {
        ++arrivals_;
        ++arrivals_by_value_[echoed];
    }
    const auto answer = answer_;
    if (answer.reads_body_)
        co_await http::beast::http::async_read(connection, buffer, parser, asio::use_awaitable);
    if (answer.delay_ > std::chrono::milliseconds::zero())
        co_await sleep(answer.delay_);
    auto text = answer.text_;
    boost::replace_all(text, echo_mark, echoed);
    co_await asio::async_write(connection, asio::buffer(text), asio::use_awaitable);
    auto portion = std::string{};
    while (!answer.repeated_.empty() && portion.size() < portion_size)
        portion += answer.repeated_;
    while (!portion.empty()) {
        co_await asio::async_write(connection, asio::buffer(portion), asio::use_awaitable);
        if (answer.interval_ > std::chrono::milliseconds::zero())
            co_await sleep(answer.interval_);
    }
    co_await end(connection, answer);
}

auto raw_listener::end(socket& connection, const raw_answer& answer) -> http::awaitable<void>
{
    if (answer.pause_ > std::chrono::milliseconds::zero())
        co_await sleep(answer.pause_);
    switch (answer.end_) {
    case raw_end::close:
        co_return;
    case raw_end::reset:
        reset(connection);
        co_return;
    case raw_end::end_and_reset:
        connection.shutdown(asio::ip::tcp::socket::shutdown_send);
        co_await sleep(reset_delay);
        reset(connection);
        co_return;
    case raw_end::hold:
        co_await connection.async_wait(asio::ip::tcp::socket::wait_read, asio::use_awaitable);
        co_return;
    }
}

auto raw_listener::sleep(std::chrono::milliseconds time) -> http::awaitable<void>
{
    auto timer = asio::steady_timer{context_, time};
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace buckthorndale::utilities::raw_stand_in

#include "protocol/settings/log_settings.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace buckthorndale::tests {

namespace asio = boost::asio;
namespace http = transport::http;

namespace {

using namespace std::chrono_literals;

constexpr auto plain_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server on its own thread.
class running_server {
public:
    running_server(http::server_settings settings, http::exchange_handler handler)
        : server_{context_, std::move(settings), std::move(handler)}
    {
        server_.start();
        thread_ = std::thread{[this] { context_.run(); }};
    }

    ~running_server()
    {
        context_.stop();
        thread_.join();
    }

    running_server(const running_server&) = delete;
    auto operator=(const running_server&) -> running_server& = delete;

    auto port() const -> std::uint16_t { return server_.port(); }

    /// Calls a function of the server on its thread.
    template <typename Function>
    auto run(Function function) -> std::invoke_result_t<Function, http::server&>
    {
        auto task = std::packaged_task<std::invoke_result_t<Function, http::server&>()>{
            [&] { return function(server_); }};
        auto result = task.get_future();
        asio::post(context_, std::ref(task));
        return result.get();
    }

    auto context() -> asio::io_context& { return context_; }

    auto counts() -> http::server_counts
    {
        return run([](http::server& server) { return server.counts(); });
    }

private:
    asio::io_context context_;
    http::server server_;
    std::thread thread_;
};

auto settings() -> http::server_settings
{
    return {.address_ = {.host_ = "127.0.0.1", .port_ = 0}};
}

auto answer_at_once(http::exchange& exchange) -> http::awaitable<void>
{
    co_await exchange.send(http::make_response(200, "text/plain", "served"));
}

/// Sends the begin of a stream and then waits until the caller has gone.
auto stream_until_disconnect(http::exchange& exchange) -> http::awaitable<void>
{
    auto timer =
        asio::steady_timer{co_await asio::this_coro::executor, asio::steady_timer::time_point::max()};
    exchange.set_label("request=" + http::header_text(exchange.message(), "Id"));
    exchange.watch_for_disconnect([&timer] { timer.cancel(); });
    co_await exchange.begin(http::make_response(200, "text/event-stream", ""));
    co_await exchange.send_chunk("one");
    co_await exchange.send_chunk("two");
    auto ignored = boost::system::error_code{};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/// A caller's connection, used from the test's thread.
class caller {
public:
    explicit caller(std::uint16_t port) { socket_.connect({asio::ip::address_v4::loopback(), port}); }

    /// Forgets what was received before.
    auto send(const std::string& bytes) -> void
    {
        received_.clear();
        asio::write(socket_, asio::buffer(bytes));
    }

    auto read_until(const std::string& text) -> void
    {
        asio::read_until(socket_, asio::dynamic_buffer(received_), text);
    }

    /// Everything that the server sends until it closes the connection.
    auto read_all() -> std::string
    {
        auto ignored = boost::system::error_code{};
        asio::read(socket_, asio::dynamic_buffer(received_), ignored);
        return received_;
    }

    auto close() -> void { socket_.close(); }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_{context_};
    std::string received_;
};

auto status_of(const std::string& answer) -> std::string
{
    constexpr auto version_length = std::size_t{9};
    constexpr auto status_length = std::size_t{3};
    return answer.size() < version_length ? "none" : answer.substr(version_length, status_length);
}

/// Waits until a condition holds, for a limited time.
auto holds_soon(const std::function<bool()>& condition) -> bool
{
    constexpr auto timeout = 3s;
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(5ms);
    return condition();
}

/// Collects the log of one test.
class log_file {
public:
    log_file() { transport::logging::set_up({.level_ = "info", .file_ = path_}); }

    ~log_file() { std::filesystem::remove(path_); }

    log_file(const log_file&) = delete;
    auto operator=(const log_file&) -> log_file& = delete;

    auto text() const -> std::string
    {
        auto content = std::ostringstream{};
        content << std::ifstream{path_}.rdbuf();
        return content.str();
    }

    auto has(const std::string& part) const -> bool
    {
        return holds_soon([&] { return text().find(part) != std::string::npos; });
    }

private:
    std::string path_{std::filesystem::temp_directory_path() /
                      ("caller-connections-" + std::to_string(::getpid()) + ".log")};
};

} // namespace

BOOST_AUTO_TEST_SUITE(caller_connections)

BOOST_AUTO_TEST_CASE(a_connection_that_ended_without_an_answer_was_not_logged)
{
    const auto log = log_file{};
    auto server = running_server{settings(), stream_until_disconnect};
    auto leaving = caller{server.port()};
    leaving.send("GET / HTTP/1.1\r\nId: left-1\r\n\r\n");
    leaving.read_until("two");
    leaving.close();
    BOOST_TEST(log.has("request=left-1 closed_by=caller reason=\"the caller closed its side\" bytes_sent="));
    BOOST_TEST(log.has(" chunks_sent=2 after_ms="));

    auto partial = caller{server.port()};
    partial.send("GET / HTTP/1.1\r\n");
    partial.close();
    BOOST_TEST(log.has("closed_by=caller reason=\"the request is incomplete: "));
    BOOST_TEST(server.counts().incomplete_by_caller_ == 2U);

    const auto aborted = [](http::exchange& exchange) -> http::awaitable<void> {
        exchange.abort("it is a test");
        co_return;
    };
    auto aborting = running_server{settings(), aborted};
    auto cut = caller{aborting.port()};
    cut.send(plain_request);
    BOOST_TEST(status_of(cut.read_all()) == "none");
    BOOST_TEST(log.has("closed_by=instance reason=\"it is a test\" bytes_sent=0"));
    BOOST_TEST(aborting.counts().incomplete_by_instance_ == 1U);
}

BOOST_AUTO_TEST_CASE(callers_over_the_limit_of_connections_got_no_answer)
{
    const auto log = log_file{};
    auto limited = settings();
    limited.max_connections_ = 10;
    limited.refusal_timeout_ = 200ms;
    limited.max_refusals_ = 1;
    auto server = running_server{limited, answer_at_once};
    const auto is_crowded = [&] { return server.run([](http::server& item) { return item.is_crowded(); }); };
    auto open = std::vector<std::unique_ptr<caller>>{};
    const auto open_until = [&](std::size_t count) {
        while (open.size() < count) {
            open.push_back(std::make_unique<caller>(server.port()));
            open.back()->send(plain_request);
            open.back()->read_until("served");
        }
    };
    open_until(8);
    BOOST_TEST(!is_crowded());
    open_until(9);
    BOOST_TEST(is_crowded());
    open_until(10);
    auto refused = caller{server.port()};
    refused.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(100'000, 'x'));
    const auto answer = refused.read_all();
    BOOST_TEST(status_of(answer) == "503");
    BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    refused.close();
    BOOST_TEST(log.has("limit reached limit=connections open=10 max=10"));

    // A caller that sends nothing is closed in time, and a second one meanwhile at once.
    BOOST_TEST(holds_soon([&] { return server.counts().open_refusals_ == 0; }));
    auto silent = caller{server.port()};
    BOOST_TEST(holds_soon([&] { return server.counts().open_refusals_ == 1; }));
    auto second = caller{server.port()};
    BOOST_TEST(status_of(second.read_all()) == "none");
    BOOST_TEST(server.counts().open_refusals_ == 1U);
    BOOST_TEST(status_of(silent.read_all()) == "none");
    BOOST_TEST(server.counts().refused_ == 3U);

    open.resize(8);
    BOOST_TEST(holds_soon([&] { return !is_crowded(); }));
    BOOST_TEST(log.has("limit left limit=connections open=8 max=10 refused=3"));
    open_until(9);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_late_got_no_answer)
{
    auto hasty = settings();
    hasty.request_timeout_ = 100ms;
    hasty.discard_timeout_ = 100ms;
    auto server = running_server{hasty, answer_at_once};
    for (const auto* part : {"GET / HT", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf"}) {
        auto slow = caller{server.port()};
        slow.send(part);
        const auto answer = slow.read_all();
        BOOST_TEST(status_of(answer) == "408");
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    }
    BOOST_TEST(holds_soon([&] { return server.counts().open_connections_ == 0; }));
}

// A body of an unknown coding was run as the next request of its connection.
BOOST_AUTO_TEST_CASE(a_body_of_an_unknown_coding_was_taken_for_a_request)
{
    auto handled = std::atomic<int>{0};
    auto server = running_server{settings(), [&handled](http::exchange& exchange) {
                                     ++handled;
                                     return answer_at_once(exchange);
                                 }};
    for (const auto* coding : {"identity", "gzip", "xchunked", "gzip, chunked", "chunked, identity"}) {
        auto smuggler = caller{server.port()};
        smuggler.send(std::string{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "} + coding + "\r\n\r\n" +
                      plain_request);
        const auto answer = smuggler.read_all();
        BOOST_TEST(status_of(answer) == "400");
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    }
    BOOST_TEST(handled == 0);
    auto sound = caller{server.port()};
    sound.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
    sound.read_until("served");
    BOOST_TEST(handled == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_with_a_second_request_behind_left_unnoticed)
{
    auto server = running_server{settings(), stream_until_disconnect};
    auto leaving = caller{server.port()};
    leaving.send(std::string{plain_request} + plain_request);
    leaving.read_until("two");
    leaving.send(plain_request);
    // The watch sees the unread bytes first.
    constexpr auto several_checks = 250ms;
    std::this_thread::sleep_for(several_checks);
    BOOST_TEST(server.counts().open_connections_ == 1U);
    leaving.close();
    BOOST_TEST(holds_soon([&] { return server.counts().open_connections_ == 0; }));
    BOOST_TEST(server.counts().incomplete_by_caller_ == 1U);
}

BOOST_AUTO_TEST_CASE(closing_idle_connections_lost_a_request_in_the_socket)
{
    constexpr auto transit = 20ms;
    auto server = running_server{settings(), answer_at_once};
    auto content = caller{server.port()};
    content.send(plain_request);
    content.read_until("served");
    server.run([&](http::server& item) {
        content.send(plain_request);
        std::this_thread::sleep_for(transit);
        item.close_idle();
    });
    BOOST_REQUIRE_NO_THROW(content.read_until("served"));
    server.run([](http::server& item) { item.close_idle(); });
    BOOST_TEST(content.read_all().ends_with("served"));
}

BOOST_AUTO_TEST_CASE(the_idle_timeout_lost_a_request_in_the_socket)
{
    constexpr auto transit = 20ms;
    auto brief = settings();
    brief.idle_timeout_ = 200ms;
    auto server = running_server{brief, answer_at_once};
    auto content = caller{server.port()};
    content.send(plain_request);
    content.read_until("served");
    // The server notices at once that both times are over, and the request arrives before the idle one is
    // handled.
    auto timer = asio::steady_timer{server.context()};
    auto sent = std::promise<void>{};
    server.run([&](http::server& /*item*/) {
        timer.expires_after(brief.idle_timeout_ / 2);
        timer.async_wait([&](boost::system::error_code /*fault*/) {
            content.send(plain_request);
            std::this_thread::sleep_for(transit);
            sent.set_value();
        });
        std::this_thread::sleep_for(brief.idle_timeout_ * 2);
    });
    sent.get_future().wait();
    BOOST_REQUIRE_NO_THROW(content.read_until("served"));
    BOOST_TEST(content.read_all().ends_with("served"));
}

BOOST_AUTO_TEST_CASE(a_handler_that_failed_left_its_caller_without_an_answer)
{
    const auto log = log_file{};
    const auto fail = [](http::exchange& exchange) -> http::awaitable<void> {
        exchange.set_label("request=failing");
        if (exchange.message().target() == "/stream")
            co_await exchange.begin(http::make_response(200, "text/event-stream", ""));
        throw std::out_of_range{"it is a test"};
    };
    auto server = running_server{settings(), fail};
    auto first = caller{server.port()};
    first.send(plain_request);
    first.read_until("may have run");
    first.send(plain_request);
    first.read_until("may have run");
    BOOST_TEST(log.has("handler failed request=failing reason=\"it is a test\""));
    auto second = caller{server.port()};
    second.send("GET /stream HTTP/1.1\r\n\r\n");
    BOOST_TEST(status_of(second.read_all()) == "200");
    BOOST_TEST(log.has("closed_by=instance reason=\"the handler failed: it is a test\""));
}

BOOST_AUTO_TEST_CASE(log_lines_about_callers_that_leave_filled_the_log)
{
    auto budget = transport::logging::line_budget{2};
    const auto start = transport::logging::line_budget::time_point{} + 1h;
    auto admitted = 0;
    for (auto i = 0; i < 10; ++i)
        admitted += budget.admits(start) ? 1 : 0;
    BOOST_TEST(admitted == 2);
    BOOST_TEST(budget.admits(start + 1s));
    BOOST_TEST(budget.take_skipped() == 8U);
    BOOST_TEST(budget.take_skipped() == 0U);
}

BOOST_AUTO_TEST_CASE(a_connection_that_ended_well_was_counted_as_incomplete)
{
    auto server = running_server{settings(), answer_at_once};
    auto content = caller{server.port()};
    content.send(plain_request);
    content.read_until("served");
    content.send(plain_request);
    content.read_until("served");
    content.close();
    BOOST_TEST(holds_soon([&] { return server.counts().open_connections_ == 0; }));
    BOOST_TEST(server.counts().incomplete_by_caller_ + server.counts().incomplete_by_instance_ == 0U);
}

BOOST_AUTO_TEST_CASE(trailers_without_end_were_kept)
{
    auto server = running_server{settings(), answer_at_once};
    const auto chunked = std::string{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"};
    const auto limit = settings().max_header_bytes_;

    auto proper = caller{server.port()};
    proper.send(chunked + "1\r\nx\r\n0\r\nX-Trailer: value\r\n\r\n");
    proper.read_until("served");

    for (const auto& start : {"1\r\nx\r\n0\r\nX-Trailer: ", "1;extension="}) {
        auto endless = caller{server.port()};
        endless.send(chunked + start + std::string(2 * limit, 'x'));
        BOOST_TEST(status_of(endless.read_all()) == "413");
    }
}

BOOST_AUTO_TEST_CASE(bodies_that_never_ended_kept_others_out)
{
    constexpr auto callers = 20;
    auto limited = settings();
    limited.max_body_bytes_ = 400'000;
    limited.memory_ = std::make_shared<http::caller_memory>(4'000'000);
    auto server = running_server{limited, answer_at_once};
    const auto body = std::string(limited.max_body_bytes_, 'x');
    const auto head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    auto unfinished = std::vector<std::unique_ptr<caller>>{};
    for (auto count = 0; count < callers; ++count) {
        unfinished.push_back(std::make_unique<caller>(server.port()));
        unfinished.back()->send(head + body.substr(1));
    }
    auto small = caller{server.port()};
    small.send(plain_request);
    small.read_until("served");
    auto large = caller{server.port()};
    large.send(head + body);
    large.read_until("served");
    const auto& held = server.run([](http::server& item) { return item.counts(); }).memory_;
    BOOST_TEST(held.held_ <= held.limit_);
    BOOST_TEST(held.evicted_ > 0U);
    // Who gave way was told so.
    const auto answer = unfinished.front()->read_all();
    BOOST_TEST(status_of(answer) == "503");
    BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(answer.find("\"run\":\"not-run\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(idle_connections_held_their_last_request)
{
    auto server = running_server{settings(), answer_at_once};
    const auto body = std::string(settings().max_body_bytes_, 'x');
    const auto head =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    auto idle = caller{server.port()};
    BOOST_TEST(holds_soon([&] { return server.counts().open_connections_ == 1; }));
    const auto held_before = server.counts().memory_.held_;
    idle.send(head + body);
    idle.read_until("served");
    BOOST_TEST(holds_soon([&] { return server.counts().memory_.held_ == held_before; }));
    idle.close();
    BOOST_TEST(holds_soon([&] { return server.counts().memory_.held_ == 0U; }));
}

BOOST_AUTO_TEST_CASE(callers_that_do_not_read_kept_others_out)
{
    auto limited = settings();
    limited.max_body_bytes_ = 1024;
    limited.memory_ = std::make_shared<http::caller_memory>(20'000'000);
    const auto answer_at_length = [](http::exchange& exchange) -> http::awaitable<void> {
        co_await exchange.send(
            http::make_response(200, "text/plain", std::string(8'000'000, 'x') + "served"));
    };
    auto server = running_server{limited, answer_at_length};
    auto silent = std::vector<std::unique_ptr<caller>>{};
    for (auto count = 0; count < 5; ++count) {
        silent.push_back(std::make_unique<caller>(server.port()));
        silent.back()->send(plain_request);
    }
    auto reading = caller{server.port()};
    reading.send(plain_request);
    reading.read_until("served");
    const auto held = server.counts().memory_;
    BOOST_TEST(held.held_ <= held.limit_);
    BOOST_TEST(held.evicted_ > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include "state/error.hpp"
#include "transport/http/query.hpp"
#include "transport/http/types.hpp"
#include "transport/process/sha256.hpp"
#include "transport/ring/awaitable_queue.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/ring/notifier.hpp"
#include "transport/rpc/client_codec.hpp"
#include "transport/rpc/method_table.hpp"
#include "transport/worker/ticker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace buckthorndale::tests {

BOOST_AUTO_TEST_SUITE(rings_and_messages)

BOOST_AUTO_TEST_CASE(an_announcement_wakes_all_that_wait)
{
    auto context = boost::asio::io_context{};
    auto notifier = transport::ring::notifier{context};
    auto woken = 0;
    auto timed_out = 0;
    const auto wait_for_notification = [&](state::duration timeout,
                                           int& count) -> boost::asio::awaitable<void> {
        co_await notifier.wait(timeout);
        ++count;
    };
    for (auto i = 0; i < 3; ++i)
        boost::asio::co_spawn(context, wait_for_notification(std::chrono::seconds{60}, woken),
                              boost::asio::detached);
    boost::asio::co_spawn(context, wait_for_notification(std::chrono::milliseconds{5}, timed_out),
                          boost::asio::detached);
    context.run_for(std::chrono::milliseconds{200});
    BOOST_TEST(woken == 0);
    BOOST_TEST(timed_out == 1);
    notifier.notify_all();
    context.run();
    BOOST_TEST(woken == 3);
    // No coroutine is waiting any more; this must have no effect.
    notifier.notify_all();
}

BOOST_AUTO_TEST_CASE(the_consumer_of_a_closed_queue_waits_for_ever)
{
    auto context = boost::asio::io_context{};
    auto queue = transport::ring::awaitable_queue<int>{context, 1, 1};
    auto has_ended = false;
    const auto consume = [&]() -> boost::asio::awaitable<void> {
        while (co_await queue.next())
            ;
        has_ended = true;
    };
    boost::asio::co_spawn(context, consume(), boost::asio::detached);
    queue.push(1);
    context.poll();
    BOOST_TEST(!has_ended);
    queue.close();
    context.poll();
    BOOST_TEST(has_ended);
}

BOOST_AUTO_TEST_CASE(a_producer_waits_for_room_for_items_and_bytes)
{
    constexpr auto max_items = std::size_t{2};
    constexpr auto max_bytes = std::size_t{10};
    auto context = boost::asio::io_context{};
    auto queue = transport::ring::awaitable_queue<int>{context, max_items, max_bytes};
    auto has_room = 0;
    const auto produce = [&]() -> boost::asio::awaitable<void> {
        co_await queue.wait_for_room();
        ++has_room;
    };
    const auto consume = [&]() -> boost::asio::awaitable<void> { co_await queue.next(); };
    const auto run = [&](boost::asio::awaitable<void> task) {
        boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
        context.restart();
        context.poll();
    };
    queue.push(1, max_bytes);
    run(produce());
    BOOST_TEST(has_room == 1);
    queue.push(2, 1);
    run(produce());
    BOOST_TEST(has_room == 1);
    run(consume());
    BOOST_TEST(has_room == 2);
    queue.push(3);
    queue.push(4);
    run(produce());
    BOOST_TEST(has_room == 2);
    run(consume());
    BOOST_TEST(has_room == 3);
    queue.push(5, max_bytes + 1);
    run(produce());
    BOOST_TEST(has_room == 3);
    queue.close();
    context.poll();
    BOOST_TEST(has_room == 4);
}

BOOST_AUTO_TEST_CASE(a_ticker_goes_on)
{
    auto context = boost::asio::io_context{};
    auto ticks = 0;
    auto ticker = transport::worker::ticker{context, std::chrono::milliseconds{2}, [&] {
                                                if (++ticks == 5)
                                                    context.stop();
                                            }};
    ticker.start();
    context.run_for(std::chrono::seconds{20});
    BOOST_TEST(ticks == 5);
}

BOOST_AUTO_TEST_CASE(ring_keeps_order_and_loses_nothing)
{
    constexpr auto items = 200'000;
    auto context = boost::asio::io_context{};
    auto guard = boost::asio::make_work_guard(context);
    auto expected = 0;
    auto is_ordered = true;
    auto ring = transport::ring::bounded_ring<int>{64, context, [&](int item) {
                                                       is_ordered = is_ordered && item == expected;
                                                       if (++expected == items)
                                                           guard.reset();
                                                   }};
    auto producer = std::thread{[&] {
        for (auto item = 0; item < items;) {
            if (ring.try_push(item))
                ++item;
            else
                std::this_thread::yield();
        }
    }};
    context.run();
    producer.join();
    BOOST_CHECK(is_ordered);
    BOOST_CHECK_EQUAL(expected, items);
}

BOOST_AUTO_TEST_CASE(full_ring_refuses)
{
    auto context = boost::asio::io_context{};
    auto ring = transport::ring::bounded_ring<int>{4, context, [](int) {}};
    auto taken = 0;
    for (auto item = 0; item < 10; ++item)
        taken += ring.try_push(item) ? 1 : 0;
    BOOST_CHECK_EQUAL(taken, 4);
}

BOOST_AUTO_TEST_CASE(method_is_called_and_its_error_comes_back)
{
    auto methods = transport::rpc::method_table{};
    methods.add("double", [](const Json::Value& parameters) {
        if (!parameters["number"].isInt())
            throw state::error{state::error_kind::invalid_request, "No number.", "Send one."};
        auto result = Json::Value{Json::objectValue};
        result["number"] = parameters["number"].asInt() * 2;
        return result;
    });
    auto parameters = Json::Value{Json::objectValue};
    parameters["number"] = 21;
    const auto good = transport::rpc::decode_response(
        "double", methods.process(transport::rpc::encode_request("double", parameters)));
    BOOST_CHECK(!good.is_error_);
    BOOST_CHECK_EQUAL(good.result_["number"].asInt(), 42);
    const auto bad = transport::rpc::decode_response(
        "double", methods.process(transport::rpc::encode_request("double", Json::Value{Json::objectValue})));
    BOOST_CHECK(bad.is_error_);
    for (const auto* text : {"", "{", "[]", R"({"jsonrpc":"2.0"})", "null", "\xff\xfe"})
        BOOST_CHECK(transport::rpc::decode_response("double", methods.process(text)).is_error_);
}

BOOST_AUTO_TEST_CASE(query_is_read)
{
    BOOST_CHECK_EQUAL(transport::http::query_text("a=1&b=x%20y", "b"), "x y");
    BOOST_CHECK_EQUAL(transport::http::query_number("a=12", "a", 0), 12U);
    BOOST_CHECK_EQUAL(transport::http::query_number("a=1x", "a", 7), 7U);
    BOOST_CHECK_EQUAL(transport::http::decode_percent("%4"), "%4");
}

BOOST_AUTO_TEST_CASE(chunks_are_written_as_the_standard_says)
{
    BOOST_CHECK_EQUAL(transport::http::to_wire_chunk("hello, world!"), "d\r\nhello, world!\r\n");
}

BOOST_AUTO_TEST_CASE(names_are_not_resolved)
{
    BOOST_CHECK_THROW(transport::http::to_socket_address({.host_ = "localhost", .port_ = 80}), state::error);
}

BOOST_AUTO_TEST_CASE(sha256_matches_the_standard)
{
    BOOST_CHECK_EQUAL(transport::process::sha256("abc"),
                      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

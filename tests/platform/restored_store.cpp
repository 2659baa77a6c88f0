#include "platform/names.hpp"
#include "platform/object_mirror.hpp"
#include "platform/store_client.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "transport/deflate/deflated_text.hpp"
#include "transport/http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include <exception>
#include <optional>
#include <string>

namespace buckthorndale::tests {

namespace {

namespace http = transport::http;

auto position(std::uint64_t era, std::uint64_t revision) -> state::store_position
{
    return {.era_ = state::store_era{era}, .revision_ = revision};
}

auto object(const std::string& name, int number) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["metadata"]["name"] = name;
    value["metadata"]["revision"] = 1;
    value["metadata"]["created"] = 1;
    value["spec"]["number"] = number;
    return value;
}

auto listing(state::store_position at, int number) -> platform::object_listing
{
    return {.objects_ = {object("main", number)}, .position_ = at};
}

auto number_in(const platform::object_mirror& mirror) -> int
{
    return mirror.objects().at("main")["spec"]["number"].asInt();
}

/// A store in a fixed era that holds one object, at revision 7.
class one_object_store {
public:
    one_object_store(http::asio::io_context& context, int era)
        : era_{era}, server_{context,
                             {.address_ = {.host_ = "127.0.0.1", .port_ = 0}},
                             [this](http::exchange& exchange) { return answer(exchange); }}
    {
        server_.start();
    }

    auto address() const -> state::network_address { return {.host_ = "127.0.0.1", .port_ = server_.port()}; }

    auto writes() const -> int { return writes_; }

private:
    auto answer(http::exchange& exchange) -> http::awaitable<void>
    {
        if (exchange.message().method() != http::beast::http::verb::get)
            ++writes_;
        auto response = http::make_response(200, "application/json", R"({ "metadata": { "revision": 7 } })");
        response.set(std::string{platform::header::store_era}, std::to_string(era_));
        co_await exchange.send(std::move(response));
    }

    int era_;
    int writes_{0};
    http::server server_;
};

/// The fault of a conditional write; nothing when it succeeds.
auto fault_of_write(http::asio::io_context& context, platform::store_client& store,
                    state::store_position based_on) -> std::optional<platform::store_fault>
{
    auto fault = std::optional<platform::store_fault>{};
    const auto status = Json::Value{Json::objectValue};
    http::asio::co_spawn(context, store.replace_status("kind", "main", based_on, status),
                         [&](const std::exception_ptr& thrown) {
                             context.stop();
                             try {
                                 if (thrown)
                                     std::rethrow_exception(thrown);
                             } catch (const platform::store_error& error) {
                                 fault = error.fault();
                             }
                         });
    context.restart();
    context.run();
    return fault;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

BOOST_AUTO_TEST_CASE(a_listing_of_a_newer_era_replaces_one_with_a_higher_revision)
{
    auto mirror = platform::object_mirror{"config"};
    BOOST_TEST(mirror.replace(listing(position(1, 150), 1)));
    BOOST_TEST(mirror.replace(listing(position(2, 110), 2)));
    BOOST_TEST(number_in(mirror) == 2);
    BOOST_TEST((mirror.position() == position(2, 110)));
    // Neither an older era with a higher revision nor an older revision of the same era is taken.
    BOOST_TEST(!mirror.replace(listing(position(1, 160), 3)));
    BOOST_TEST(!mirror.replace(listing(position(2, 109), 3)));
    BOOST_TEST(!mirror.replace(listing(position(0, 160), 3)));
    BOOST_TEST(number_in(mirror) == 2);
}

BOOST_AUTO_TEST_CASE(changes_of_another_era_are_not_applied)
{
    auto mirror = platform::object_mirror{"config"};
    mirror.replace(listing(position(1, 150), 1));
    const auto changes =
        platform::object_changes{.changes_ = {{.object_ = object("main", 2)}}, .position_ = position(2, 151)};
    BOOST_TEST(!mirror.apply(changes));
    BOOST_TEST(number_in(mirror) == 1);
    BOOST_TEST((mirror.position() == position(1, 150)));
}

BOOST_AUTO_TEST_CASE(followers_are_told_of_a_newer_era_without_a_changed_object)
{
    auto mirror = platform::object_mirror{"config"};
    mirror.replace(listing(position(1, 150), 1));
    mirror.compressed_listing();
    mirror.replace(listing(position(2, 150), 1));
    BOOST_TEST((mirror.changed_at() > position(1, 150)));
    BOOST_TEST((platform::decompress_listing(mirror.compressed_listing()).position_ == position(2, 150)));
}

BOOST_AUTO_TEST_CASE(a_listing_of_an_older_build_has_an_unknown_era)
{
    const auto bytes = transport::deflate::deflated(R"({ "revision": 12, "objects": [] })");
    BOOST_TEST((platform::decompress_listing(bytes).position_ == position(0, 12)));
    const auto garbled = transport::deflate::deflated(R"({ "revision": 12, "objects": [], "era": "x" })");
    BOOST_CHECK_THROW(platform::decompress_listing(garbled), platform::store_error);
}

BOOST_AUTO_TEST_CASE(a_write_based_on_an_older_era_is_not_sent_although_its_revision_was_given_out_again)
{
    auto context = http::asio::io_context{};
    auto server = one_object_store{context, 2};
    auto client = http::client{context};
    auto heard = state::store_era{};
    auto store = platform::store_client{client, server.address(), [&](state::store_era era) { heard = era; }};
    BOOST_CHECK(fault_of_write(context, store, position(1, 7)) == platform::store_fault::conflict);
    BOOST_TEST(server.writes() == 0);
    BOOST_TEST(heard.value() == 2U);
    BOOST_CHECK(!fault_of_write(context, store, position(2, 7)));
    BOOST_TEST(server.writes() == 1);
    BOOST_CHECK(fault_of_write(context, store, position(2, 6)) == platform::store_fault::conflict);
    BOOST_TEST(server.writes() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

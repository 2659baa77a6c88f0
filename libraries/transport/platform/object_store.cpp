#include <utility>

#include "transport/platform/object_store.hpp"

#include "protocol/codec/instance_list_codec.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "transport/http/percent_encoding.hpp"

namespace buckthorndale::transport::platform {

namespace {

using beast_field = http::beast::http::field;
using beast_status = http::beast::http::status;

/// The client's timeout exceeds the requested wait by this margin, so that the platform's wait ends first.
constexpr auto watch_timeout_margin = state::duration{std::chrono::seconds{2}};

/// The levels of an instance list down to its entries: the list, its members or endpoints.
constexpr auto instance_list_levels = 2;

auto make_reader(const Json::Value& value) -> protocol::json::object_reader
{
    return {value, "", state::error_kind::platform_unavailable};
}

auto read_object(protocol::json::object_reader reader) -> stored_object
{
    auto object = stored_object{};
    object.name_ = reader.text("name");
    object.tag_ = reader.text("tag");
    object.value_ = reader.text_or("value", "");
    return object;
}

auto target_of(const std::string& name) -> std::string
{
    return "/objects/" + http::encode_path(name);
}

auto to_milliseconds_text(state::duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

auto object_store::create(std::string name, std::string value) -> http::awaitable<put_result>
{
    return put(std::move(name), "If-None-Match", "*", std::move(value));
}

auto object_store::replace(std::string name, std::string tag, std::string value)
    -> http::awaitable<put_result>
{
    return put(std::move(name), "If-Match", std::move(tag), std::move(value));
}

auto object_store::put(std::string name, std::string_view condition, std::string tag, std::string value)
    -> http::awaitable<put_result>
{
    auto message = http::request{http::beast::http::verb::put, target_of(name), 11};
    message.set(http::beast::string_view{condition.data(), condition.size()}, tag);
    message.body() = std::move(value);
    const auto timeouts = http::client::timeouts{
        .connect_ = request_timeout_, .first_byte_ = request_timeout_, .between_chunks_ = request_timeout_};
    try {
        const auto answer = co_await client_.fetch(address_, std::move(message), timeouts);
        if (answer.result() == beast_status::precondition_failed)
            co_return put_result::refused;
        const auto is_written =
            answer.result() == beast_status::ok || answer.result() == beast_status::created;
        co_return is_written ? put_result::written : put_result::uncertain;
    } catch (const http::client_error&) {
        co_return put_result::uncertain;
    }
}

auto object_store::get(std::string target, state::duration timeout)
    -> http::awaitable<std::optional<http::response>>
{
    auto message = http::request{http::beast::http::verb::get, target, 11};
    const auto timeouts = http::client::timeouts{
        .connect_ = request_timeout_, .first_byte_ = timeout, .between_chunks_ = request_timeout_};
    try {
        co_return co_await client_.fetch(address_, std::move(message), timeouts);
    } catch (const http::client_error&) {
        co_return std::nullopt;
    }
}

auto object_store::read(std::string name) -> http::awaitable<read_result>
{
    const auto answer = co_await get(target_of(name), request_timeout_);
    if (!answer)
        co_return read_result{};
    if (answer->result() == beast_status::not_found)
        co_return read_result{.is_available_ = true};
    if (answer->result() != beast_status::ok)
        co_return read_result{};
    co_return read_result{.is_available_ = true,
                          .object_ = stored_object{.name_ = name,
                                                   .tag_ = std::string{answer->at(beast_field::etag)},
                                                   .value_ = answer->body()}};
}

auto object_store::list(std::string prefix, std::string after, std::size_t max_count)
    -> http::awaitable<list_result>
{
    const auto answer = co_await get("/objects?prefix=" + http::encode_component(prefix) + "&after=" +
                                         http::encode_component(after) + "&most=" + std::to_string(max_count),
                                     request_timeout_);
    if (!answer || answer->result() != beast_status::ok)
        co_return list_result{};
    try {
        const auto value = protocol::json::parse(answer->body(), state::error_kind::platform_unavailable);
        auto result = list_result{.is_available_ = true};
        for (auto& child : make_reader(value).children("objects"))
            result.objects_.push_back(read_object(child));
        co_return result;
    } catch (const state::error&) {
        co_return list_result{};
    }
}

auto object_store::watch(std::string prefix, std::uint64_t version, state::duration timeout)
    -> http::awaitable<watch_result>
{
    const auto target = "/watch?prefix=" + http::encode_component(prefix) +
                        "&version=" + std::to_string(version) + "&wait_ms=" + to_milliseconds_text(timeout);
    const auto answer = co_await get(target, timeout + watch_timeout_margin);
    if (!answer || answer->result() != beast_status::ok)
        co_return watch_result{};
    try {
        const auto value = protocol::json::parse(answer->body(), state::error_kind::platform_unavailable);
        auto reader = make_reader(value);
        co_return watch_result{.is_available_ = true,
                               .version_ = reader.number("version"),
                               .has_changed_ = reader.boolean_or("changed", false)};
    } catch (const state::error&) {
        co_return watch_result{};
    }
}

auto object_store::instances(state::data_centre_id data_centre, std::uint64_t version)
    -> http::awaitable<instances_result>
{
    const auto answer = co_await get("/instances?data_centre=" + http::encode_component(data_centre.text()) +
                                         "&version=" + std::to_string(version),
                                     request_timeout_);
    if (!answer)
        co_return instances_result{};
    if (answer->result() == beast_status::not_modified)
        co_return instances_result{.is_available_ = true};
    if (answer->result() != beast_status::ok)
        co_return instances_result{};
    try {
        auto parsed = protocol::json::parse_readable_parts(answer->body(), instance_list_levels,
                                                           state::error_kind::platform_unavailable);
        auto result = instances_result{.is_available_ = true, .unreadable_ = std::move(parsed.unreadable_)};
        result.list_ = protocol::codec::read_instance_list(make_reader(parsed.value_), result.unreadable_);
        co_return result;
    } catch (const state::error&) {
        co_return instances_result{};
    }
}

} // namespace buckthorndale::transport::platform

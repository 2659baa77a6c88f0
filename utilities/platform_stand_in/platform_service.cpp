#include <utility>

#include "platform_stand_in/platform_service.hpp"

#include "protocol/codec/instance_list_codec.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "transport/http/query.hpp"
#include "transport/process/clock.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>

namespace buckthorndale::utilities::platform_stand_in {

namespace http = transport::http;
namespace json = protocol::json;

namespace {

constexpr auto largest_value = std::size_t{1'048'576};
constexpr auto watch_step = state::duration{std::chrono::milliseconds{10}};
constexpr auto longest_watch_ms = std::uint64_t{60'000};
constexpr auto largest_page = std::uint64_t{1000};

auto text_response(unsigned status, std::string body) -> http::response
{
    return http::make_response(status, "application/json", std::move(body));
}

auto now() -> state::time_point
{
    return transport::process::system_clock{}.now();
}

auto reader_of(const Json::Value& value) -> json::object_reader
{
    return {value, "", state::error_kind::invalid_request};
}

} // namespace

platform_service::platform_service(http::asio::io_context& context, state::instance_list instances,
                                   state::duration lag)
    : context_{context}, directory_{std::move(instances), lag}
{}

auto platform_service::handle(http::exchange& exchange) -> http::awaitable<void>
{
    const auto target = http::split_target(exchange.message().target());
    const auto is_control = co_await answer_control(exchange, target.path_);
    if (is_control)
        co_return;
    if (faults_.is_down_) {
        exchange.abort();
        co_return;
    }
    if (faults_.delay_ > state::duration::zero())
        co_await sleep(faults_.delay_);
    co_await answer(exchange);
}

auto platform_service::answer(http::exchange& exchange) -> http::awaitable<void>
{
    using verb = http::beast::http::verb;
    constexpr auto object_path = std::string_view{"/objects/"};
    if (!boost::urls::parse_origin_form(exchange.message().target())) {
        co_await exchange.send(text_response(400, "{}"));
        co_return;
    }
    const auto target = http::split_target(exchange.message().target());
    const auto method = exchange.message().method();
    if (target.path_.starts_with(object_path)) {
        const auto name = http::decode_percent(target.path_.substr(object_path.size()));
        if (method == verb::put)
            co_await put_object(exchange, name);
        else
            co_await get_object(exchange, name);
        co_return;
    }
    if (target.path_ == "/objects")
        co_await list_objects(exchange, target.query_);
    else if (target.path_ == "/watch")
        co_await watch(exchange, target.query_);
    else if (target.path_ == "/instances")
        co_await list_instances(exchange, target.query_);
    else
        co_await exchange.send(text_response(404, "{}"));
}

auto platform_service::answer_control(http::exchange& exchange, const std::string& path)
    -> http::awaitable<bool>
{
    const auto is_post = exchange.message().method() == http::beast::http::verb::post;
    if (path == "/calls") {
        co_await exchange.send(text_response(200, counts_text()));
        co_return true;
    }
    if (!is_post)
        co_return false;
    if (path == "/faults")
        switch_faults(exchange.message().body());
    else if (path == "/instances")
        change_instance(exchange.message().body());
    else if (path == "/unchecked-endpoint")
        unchecked_endpoints_.push_back(
            json::parse(exchange.message().body(), state::error_kind::invalid_request));
    else if (path == "/unchecked-member")
        unchecked_members_.push_back(
            json::parse(exchange.message().body(), state::error_kind::invalid_request));
    else if (path == "/backup")
        backup_ = table_;
    else if (path == "/restore" && backup_)
        table_.restore(*backup_);
    co_await exchange.send(text_response(200, "{}"));
    co_return true;
}

auto platform_service::put_object(http::exchange& exchange, const std::string& name) -> http::awaitable<void>
{
    ++counts_.writes_;
    const auto& message = exchange.message();
    if (message.body().size() > largest_value) {
        co_await exchange.send(text_response(413, "{}"));
        co_return;
    }
    const auto outcome = table_.put(name, message.body(), http::header_text(message, "If-Match"),
                                    http::header_text(message, "If-None-Match") == "*");
    if (faults_.lost_answers_ > 0) {
        --faults_.lost_answers_;
        exchange.abort();
        co_return;
    }
    if (!outcome.is_written_) {
        co_await exchange.send(text_response(412, "{}"));
        co_return;
    }
    auto answer = text_response(outcome.is_new_ ? 201 : 200, "{}");
    answer.set(http::beast::http::field::etag, outcome.tag_);
    co_await exchange.send(std::move(answer));
}

auto platform_service::get_object(http::exchange& exchange, const std::string& name) -> http::awaitable<void>
{
    ++counts_.reads_;
    const auto object = table_.find(name);
    if (!object) {
        co_await exchange.send(text_response(404, "{}"));
        co_return;
    }
    auto answer = text_response(200, object->value_);
    answer.set(http::beast::http::field::etag, object->tag());
    co_await exchange.send(std::move(answer));
}

auto platform_service::list_objects(http::exchange& exchange, const std::string& query)
    -> http::awaitable<void>
{
    ++counts_.lists_;
    const auto most = std::min(http::query_number(query, "most", largest_page), largest_page);
    auto value = Json::Value{Json::objectValue};
    value["objects"] = Json::Value{Json::arrayValue};
    for (const auto& object :
         table_.list(http::query_text(query, "prefix"), http::query_text(query, "after"), most)) {
        auto item = Json::Value{Json::objectValue};
        item["name"] = object.name_;
        item["tag"] = object.tag();
        item["value"] = object.value_;
        value["objects"].append(item);
    }
    co_await exchange.send(text_response(200, json::to_text(value)));
}

auto platform_service::watch(http::exchange& exchange, const std::string& query) -> http::awaitable<void>
{
    ++counts_.watches_;
    ++counts_.waiting_watches_;
    const auto prefix = http::query_text(query, "prefix");
    const auto known = http::query_number(query, "version", 0);
    const auto wait_ms = std::min(http::query_number(query, "wait_ms", 0), longest_watch_ms);
    const auto until = now() + std::chrono::milliseconds{wait_ms};
    while (table_.version_of(prefix) <= known && now() < until && !faults_.is_down_)
        co_await sleep(watch_step);
    --counts_.waiting_watches_;
    if (faults_.is_down_) {
        exchange.abort();
        co_return;
    }
    auto value = Json::Value{Json::objectValue};
    const auto version = table_.version_of(prefix);
    value["version"] = Json::UInt64{std::max(version, known)};
    value["changed"] = version > known;
    co_await exchange.send(text_response(200, json::to_text(value)));
}

auto platform_service::list_instances(http::exchange& exchange, const std::string& query)
    -> http::awaitable<void>
{
    ++counts_.lists_;
    const auto list = directory_.visible(http::query_text(query, "data_centre"), now());
    if (list.version_ <= http::query_number(query, "version", 0)) {
        co_await exchange.send(text_response(304, ""));
        co_return;
    }
    auto value = protocol::codec::to_json(list);
    for (const auto& entry : unchecked_endpoints_)
        value["endpoints"].append(entry);
    for (const auto& entry : unchecked_members_)
        value["members"].append(entry);
    co_await exchange.send(text_response(200, json::to_text(value)));
}

auto platform_service::switch_faults(const std::string& body) -> void
{
    const auto value = json::parse(body, state::error_kind::invalid_request);
    auto reader = reader_of(value);
    constexpr auto longest_delay_ms = std::int64_t{600'000};
    constexpr auto most_lost = std::int64_t{1'000'000};
    faults_ = {.is_down_ = reader.boolean_or("down", false),
               .delay_ = reader.milliseconds_or("delay_ms", 0, longest_delay_ms, {}),
               .lost_answers_ = reader.integer_or("lost_answers", 0, most_lost, 0)};
    reader.finish();
}

auto platform_service::change_instance(const std::string& body) -> void
{
    const auto value = json::parse(body, state::error_kind::invalid_request);
    auto reader = reader_of(value);
    if (reader.has("endpoint"))
        directory_.put_endpoint(protocol::codec::read_endpoint(reader.child("endpoint")), now());
    else if (reader.has("member"))
        directory_.put_member(protocol::codec::read_member(reader.child("member")), now());
    else
        directory_.remove(reader.text("remove"), now());
    reader.finish();
}

auto platform_service::counts_text() const -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["reads"] = Json::UInt64{counts_.reads_};
    value["writes"] = Json::UInt64{counts_.writes_};
    value["watches"] = Json::UInt64{counts_.watches_};
    value["lists"] = Json::UInt64{counts_.lists_};
    value["waiting_watches"] = Json::UInt64{counts_.waiting_watches_};
    return json::to_text(value);
}

auto platform_service::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{context_, time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

} // namespace buckthorndale::utilities::platform_stand_in

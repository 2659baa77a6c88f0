#include <utility>

#include "endpoint_stand_in/endpoint_service.hpp"

#include "protocol/caller/header_names.hpp"
#include "protocol/event_stream/event.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/number_from_text.hpp"
#include "state/stable_hash.hpp"
#include "transport/http/query.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdlib>

namespace buckthorndale::utilities::endpoint_stand_in {

namespace http = transport::http;
namespace json = protocol::json;

namespace {

constexpr auto crash_marker = std::string_view{"crash-this-endpoint"};
constexpr auto tokens_marker = std::string_view{"tokens="};
constexpr auto least_tokens = std::uint64_t{8};
constexpr auto token_spread = std::uint64_t{24};
constexpr auto cached_part = 4;
constexpr auto forever = std::chrono::hours{24};

auto json_response(unsigned status, const Json::Value& value) -> http::response
{
    return http::make_response(status, "application/json", json::to_text(value));
}

auto prompt_of(const Json::Value& body) -> std::string
{
    const auto& messages = body["messages"];
    return messages.isArray() && !messages.empty() ? messages[messages.size() - 1]["content"].asString()
                                                   : std::string{};
}

/// The length of the answer: as the prompt asks by "tokens=N", or by its hash.
auto token_count_of(const std::string& prompt) -> std::uint64_t
{
    const auto marker = prompt.find(tokens_marker);
    if (marker != std::string::npos) {
        const auto rest = std::string_view{prompt}.substr(marker + tokens_marker.size());
        const auto digits = rest.substr(0, rest.find_first_not_of("0123456789"));
        return state::number_from_text<std::uint64_t>(digits).value_or(least_tokens);
    }
    return least_tokens + state::stable_hash(prompt) % token_spread;
}

auto chunk_text(const std::string& version, const std::string& word) -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["object"] = "chat.completion.chunk";
    value["model"] = version;
    auto choice = Json::Value{Json::objectValue};
    choice["index"] = 0;
    choice["delta"]["content"] = word;
    value["choices"].append(choice);
    return json::to_text(value);
}

auto end_text(std::uint64_t tokens) -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["choices"] = Json::Value{Json::arrayValue};
    value["usage"]["completion_tokens"] = Json::UInt64{tokens};
    return json::to_text(value);
}

// g++ 12 destroys aggregates that are made inside a co_await expression twice, so events are made here.
auto event_text(std::string id, std::string data) -> std::string
{
    return protocol::event_stream::to_text({.id_ = std::move(id), .data_ = std::move(data)});
}

auto request_id_of(const http::exchange& exchange) -> std::string
{
    return http::header_text(exchange.message(), protocol::caller::request_id_header);
}

/// Counts a request as running while it lives.
class running_guard {
public:
    explicit running_guard(std::int32_t& running) : running_{running} { ++running_; }

    ~running_guard() { --running_; }

    running_guard(const running_guard&) = delete;
    auto operator=(const running_guard&) -> running_guard& = delete;

private:
    std::int32_t& running_;
};

} // namespace

auto endpoint_service::handle(http::exchange& exchange) -> http::awaitable<void>
{
    const auto target = http::split_target(exchange.message().target());
    const auto is_control = co_await answer_control(exchange, target.path_);
    if (is_control)
        co_return;
    if (faults_.is_silent_)
        co_await sleep(forever);
    if (exchange.message().body().find(crash_marker) != std::string::npos)
        std::_Exit(1);
    if (target.path_ == "/v1/chat/completions")
        co_await answer_chat(exchange);
    else if (target.path_ == "/rate")
        co_await answer_rating(exchange);
    else
        co_await answer_call(exchange, target.path_);
}

auto endpoint_service::answer_control(http::exchange& exchange, const std::string& path)
    -> http::awaitable<bool>
{
    if (path == "/status") {
        co_await exchange.send(http::make_response(200, "application/json", status_text()));
        co_return true;
    }
    if (path == "/orders") {
        co_await answer_order(exchange);
        co_return true;
    }
    if (path != "/faults")
        co_return false;
    switch_faults(exchange.message().body());
    co_await exchange.send(json_response(200, Json::Value{Json::objectValue}));
    co_return true;
}

auto endpoint_service::answer_chat(http::exchange& exchange) -> http::awaitable<void>
{
    const auto asked = http::header_text(exchange.message(), "X-Model-Version");
    const auto is_full = running_ >= 2 * settings_.slots_;
    if (faults_.is_leaving_ || is_full || !is_loaded(asked)) {
        co_await decline(exchange);
        co_return;
    }
    const auto guard = running_guard{running_};
    const auto body = json::parse(exchange.message().body(), state::error_kind::invalid_request);
    // Requests beyond the slots share them, which slows each of them down.
    const auto crowding = 1 + running_ / (settings_.slots_ + 1);
    co_await sleep(first_token_time(body) * crowding);
    const auto version = faults_.answered_version_.empty() ? asked : faults_.answered_version_;
    auto head = http::make_response(200, "text/event-stream", "");
    head.set("X-Model-Version", version);
    head.set("X-Running", std::to_string(running_));
    head.set(protocol::caller::request_id_header, request_id_of(exchange));
    co_await exchange.begin(std::move(head));
    co_await stream_tokens(exchange, body, version);
    ++served_;
}

auto endpoint_service::stream_tokens(http::exchange& exchange, const Json::Value& body,
                                     const std::string& version) -> http::awaitable<void>
{
    const auto prompt = prompt_of(body);
    const auto tokens = token_count_of(prompt);
    const auto resume = http::header_text(exchange.message(), "X-Resume-Offset");
    const auto first = resume.empty() ? 0 : state::number_from_text<std::uint64_t>(resume).value_or(0);
    for (auto index = std::uint64_t{first}; index < tokens; ++index) {
        if (faults_.is_silent_)
            co_await sleep(forever);
        if (faults_.cut_after_ > 0 && index >= first + static_cast<std::uint64_t>(faults_.cut_after_)) {
            exchange.abort();
            co_return;
        }
        const auto word = "w" + std::to_string(index) + " ";
        const auto piece = event_text(std::to_string(index), chunk_text(version, word));
        co_await exchange.send_chunk(piece);
        const auto pause = settings_.between_tokens_ + faults_.slower_;
        if (pause > state::duration::zero())
            co_await sleep(pause);
    }
    const auto end = event_text("", end_text(tokens)) +
                     event_text(std::to_string(tokens), protocol::event_stream::end_marker);
    co_await exchange.send_chunk(end);
    co_await exchange.end();
}

auto endpoint_service::decline(http::exchange& exchange) -> http::awaitable<void>
{
    auto answer = json_response(503, Json::Value{Json::objectValue});
    answer.set("X-Not-Run", "true");
    answer.set(protocol::caller::request_id_header,
               faults_.repeats_refusals_ ? "earlier" : request_id_of(exchange));
    answer.set("X-Running", std::to_string(running_));
    if (faults_.is_leaving_)
        answer.set("X-Leaving", "true");
    co_await exchange.send(std::move(answer));
}

auto endpoint_service::answer_call(http::exchange& exchange, const std::string& path) -> http::awaitable<void>
{
    if (faults_.is_leaving_) {
        co_await decline(exchange);
        co_return;
    }
    const auto guard = running_guard{running_};
    const auto run = ++runs_[exchange.message().body()];
    co_await sleep(settings_.first_token_);
    auto value = Json::Value{Json::objectValue};
    value["path"] = path;
    value["run"] = Json::UInt64{run};
    ++served_;
    if (faults_.repeats_refusals_) {
        co_await decline(exchange);
        co_return;
    }
    auto answer = json_response(200, value);
    answer.set(protocol::caller::request_id_header, request_id_of(exchange));
    co_await exchange.send(std::move(answer));
}

auto endpoint_service::answer_rating(http::exchange& exchange) -> http::awaitable<void>
{
    const auto body = json::parse(exchange.message().body(), state::error_kind::invalid_request);
    co_await sleep(settings_.first_token_);
    const auto version = state::version_key_from_text(body["version"].asString());
    const auto found = settings_.ratings_.find(version);
    auto value = Json::Value{Json::objectValue};
    value["score"] = (found == settings_.ratings_.end() ? state::full_share : found->second).value();
    ++served_;
    co_await exchange.send(json_response(200, value));
}

auto endpoint_service::answer_order(http::exchange& exchange) -> http::awaitable<void>
{
    const auto value = json::parse(exchange.message().body(), state::error_kind::invalid_request);
    auto reader = json::object_reader{value, "", state::error_kind::invalid_request};
    const auto fencing = reader.number("fencing");
    const auto versions = reader.texts("versions");
    reader.finish();
    if (settings_.is_fencing_ && fencing < newest_fencing_) {
        co_await exchange.send(json_response(409, Json::Value{Json::objectValue}));
        co_return;
    }
    newest_fencing_ = std::max(newest_fencing_, fencing);
    settings_.versions_.clear();
    for (const auto& text : versions)
        settings_.versions_.push_back(state::version_key_from_text(text));
    co_await exchange.send(json_response(200, Json::Value{Json::objectValue}));
}

auto endpoint_service::switch_faults(const std::string& body) -> void
{
    constexpr auto largest = std::int64_t{1'000'000};
    const auto value = json::parse(body, state::error_kind::invalid_request);
    auto reader = json::object_reader{value, "", state::error_kind::invalid_request};
    faults_ = {.is_silent_ = reader.boolean_or("silent", false),
               .cut_after_ = reader.integer_or("cut_after", 0, largest, 0),
               .answered_version_ = reader.text_or("answered_version", ""),
               .is_leaving_ = reader.boolean_or("leaving", false),
               .repeats_refusals_ = reader.boolean_or("repeats_refusals", false),
               .slower_ = reader.milliseconds_or("slower_ms", 0, largest, {})};
    reader.finish();
}

auto endpoint_service::is_loaded(const std::string& version) const -> bool
{
    return std::ranges::any_of(settings_.versions_,
                               [&](const auto& loaded) { return loaded.text() == version; });
}

auto endpoint_service::first_token_time(const Json::Value& body) -> state::duration
{
    const auto prefix = state::stable_hash(json::to_text(body["messages"][0]));
    if (std::ranges::find(cache_, prefix) != cache_.end())
        return settings_.first_token_ / cached_part;
    cache_.push_back(prefix);
    if (cache_.size() > settings_.cached_prefixes_)
        cache_.pop_front();
    return settings_.first_token_;
}

auto endpoint_service::status_text() const -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["running"] = running_;
    value["served"] = Json::UInt64{served_};
    value["fencing"] = Json::UInt64{newest_fencing_};
    value["versions"] = Json::Value{Json::arrayValue};
    for (const auto& version : settings_.versions_)
        value["versions"].append(version.text());
    value["runs"] = Json::Value{Json::objectValue};
    for (const auto& [body, count] : runs_)
        value["runs"][body] = Json::UInt64{count};
    return json::to_text(value);
}

auto endpoint_service::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{context_, time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

} // namespace buckthorndale::utilities::endpoint_stand_in

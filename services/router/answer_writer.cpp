#include <utility>

#include "router/answer_writer.hpp"

#include "protocol/caller/chat_answer.hpp"
#include "protocol/caller/header_names.hpp"
#include "protocol/caller/problem.hpp"
#include "protocol/event_stream/event.hpp"

#include <algorithm>

namespace buckthorndale::services::router {

namespace http = transport::http;
namespace caller = protocol::caller;
namespace event_stream = protocol::event_stream;

namespace {

/// Retry-After is in whole seconds; the time is rounded up.
auto retry_after_seconds(state::duration time) -> std::string
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(time).count());
}

// g++ 12 destroys aggregates that are created inside a co_await expression twice, so they are created here.
auto event_text(std::string type, std::string data) -> std::string
{
    return event_stream::to_text({.type_ = std::move(type), .data_ = std::move(data)});
}

} // namespace

auto answer_writer::run() -> http::awaitable<void>
{
    auto has_more = true;
    while (has_more) {
        const auto item = co_await request_.output_.next();
        if (!item)
            co_return;
        request_.hold_queue();
        has_more = co_await std::visit([this](const auto& value) { return write(value); }, *item);
    }
}

auto answer_writer::write(const answer_begun& item) -> http::awaitable<bool>
{
    start_ = item;
    if (!is_stream())
        co_return true;
    auto response = http::make_response(200, "text/event-stream", "");
    response.set(http::beast::http::field::cache_control, "no-store");
    add_common_headers(response);
    add_session_headers(response, item.version_);
    response.set(caller::version_header, item.version_.text());
    response.set(caller::attempts_header, std::to_string(item.attempts_));
    has_begun_stream_ = true;
    co_await exchange_.begin(std::move(response));
    co_return true;
}

auto answer_writer::write(const answer_chunk& item) -> http::awaitable<bool>
{
    if (!is_stream()) {
        content_.append(caller::chunk_text(item.data_));
        co_return true;
    }
    const auto text = event_text("", item.data_);
    co_await exchange_.send_chunk(text);
    co_return true;
}

auto answer_writer::write(const plain_answer& item) -> http::awaitable<bool>
{
    auto response =
        http::make_response(item.outcome_.status_, item.outcome_.content_type_, item.outcome_.body_);
    add_common_headers(response);
    co_await exchange_.send(std::move(response));
    co_return true;
}

auto answer_writer::write(const coordination::routing::answer_summary& item) -> http::awaitable<bool>
{
    if (!request_.chat_)
        co_return false;
    if (!is_stream()) {
        auto response = http::make_response(
            200, "application/json", caller::complete_answer_text(request_.description_.id_, item, content_));
        add_common_headers(response);
        add_session_headers(response, item.version_);
        response.set(caller::version_header, item.version_.text());
        response.set(caller::attempts_header, std::to_string(item.attempts_));
        co_await exchange_.send(std::move(response));
        co_return false;
    }
    const auto usage = caller::usage_chunk_text(request_.description_.id_, item);
    const auto text = event_text("", usage) + event_text("", event_stream::end_marker);
    co_await exchange_.send_chunk(text);
    co_await exchange_.end();
    co_return false;
}

auto answer_writer::write(const coordination::routing::refusal& item) -> http::awaitable<bool>
{
    const auto text = caller::problem_text(item, request_.description_.id_);
    if (has_begun_stream_) {
        const auto event = event_text("error", text);
        co_await exchange_.send_chunk(event);
        exchange_.abort();
        co_return false;
    }
    auto response = http::make_response(caller::status_of(item.kind_), caller::problem_media_type, text);
    add_common_headers(response);
    response.set(caller::run_state_header, caller::to_text(item.run_));
    if (item.retry_after_ > state::duration::zero())
        response.set(http::beast::http::field::retry_after, retry_after_seconds(item.retry_after_));
    co_await exchange_.send(std::move(response));
    co_return false;
}

auto answer_writer::add_common_headers(http::response& response) const -> void
{
    response.set(caller::request_id_header, request_.description_.id_.text());
}

auto answer_writer::add_session_headers(http::response& response, const state::version_key& version) const
    -> void
{
    const auto& description = request_.description_;
    if (description.session_.is_empty())
        return;
    const auto pin = state::session_pin{.session_ = description.session_, .version_ = version};
    response.set(caller::session_token_header, state::session_token(pin));
    const auto is_kept = description.pin_ && description.pin_->version_ == version;
    const auto is_moved = description.pin_ && !is_kept;
    response.set(caller::session_state_header, is_kept ? "kept" : (is_moved ? "moved" : "new"));
}

} // namespace buckthorndale::services::router

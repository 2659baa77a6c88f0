#include <utility>

#include "router/attempt_runner.hpp"

#include "protocol/caller/header_names.hpp"
#include "protocol/event_stream/parser.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"
#include "transport/logging/log_text.hpp"

namespace buckthorndale::services::router {

namespace http = transport::http;
using coordination::routing::attempt_result_kind;
using coordination::routing::release_mode;

namespace {

constexpr auto connect_timeout = state::duration{std::chrono::milliseconds{500}};
constexpr auto tail_read_timeout = state::duration{std::chrono::milliseconds{20}};
constexpr auto probe_timeout = state::duration{std::chrono::milliseconds{200}};
/// An older order was delayed by a freeze of the process, and the state it was based on may have changed.
constexpr auto max_order_age = state::duration{std::chrono::seconds{1}};
constexpr auto max_plain_answer_size = std::size_t{4'194'304};
/// Chunks of one answer that are kept for a rating; a longer answer is rated by its beginning.
constexpr auto max_sampled_chunks = std::size_t{2000};
constexpr auto status_ok = 200U;
constexpr auto first_client_error = 400U;
constexpr auto first_server_error = 500U;

/// The number of tokens from the usage event of the engine; nothing for other events.
auto read_token_count(const std::string& data) -> std::optional<state::token_count>
{
    constexpr auto usage_mark = std::string_view{"\"usage\""};
    if (data.find(usage_mark) == std::string::npos)
        return std::nullopt;
    const auto value = protocol::json::parse(data, state::error_kind::endpoint_failed);
    const auto& count = value["usage"]["completion_tokens"];
    if (!count.isInt64() || count.asInt64() < 0)
        return std::nullopt;
    return state::token_count{count.asInt64()};
}

} // namespace

auto enqueue_chunk(caller_request& request, const network_attempt& attempt, std::string data) -> void
{
    if (!request.has_begun_) {
        request.has_begun_ = true;
        request.output_.push(answer_begun{.version_ = attempt.order_.version_,
                                          .attempts_ = static_cast<int>(request.attempts_.size())});
    }
    const auto size = data.size();
    request.output_.push(answer_chunk{std::move(data)}, size);
    request.hold_queue();
}

auto attempt_runner::run(std::shared_ptr<caller_request> request, std::shared_ptr<network_attempt> attempt,
                         first_chunk_callback on_first_chunk)
    -> http::awaitable<coordination::routing::attempt_result>
{
    auto state =
        progress{.request_ = *request, .attempt_ = *attempt, .on_first_chunk_ = std::move(on_first_chunk)};
    state.result_.attempt_ = attempt->order_.attempt_;
    state.result_.kind_ = attempt_result_kind::broken;
    metrics_.record_attempt();
    auto error = std::optional<http::client_error>{};
    try {
        co_await execute(state);
    } catch (const http::client_error& caught) {
        error = caught;
    } catch (const state::error&) {
        state.result_.kind_ = attempt_result_kind::failed;
    }
    if (error && !state.has_end_mark_)
        co_await classify_error(state, *error);
    state.result_.chunks_accepted_ = request->relay_.accepted();
    if (state.result_.tokens_ == state::token_count{})
        state.result_.tokens_ = state::token_count{static_cast<std::int64_t>(request->relay_.accepted())};
    // Only an endpoint that names the request in its answers may answer another one on the same connection.
    if (attempt->stream_ && state.result_.kind_ == attempt_result_kind::complete && state.is_named_)
        attempt->stream_->release();
    attempt->stream_.reset();
    co_return state.result_;
}

auto attempt_runner::execute(progress& state) -> http::awaitable<void>
{
    const auto& order = state.attempt_.order_;
    if (clock_.now() - order.issued_ > max_order_age) {
        state.result_.kind_ = attempt_result_kind::nothing_sent;
        co_return;
    }
    state.request_.relay_.switch_to(order.attempt_, order.resume_offset_);
    const auto timeouts = http::client::timeouts{.connect_ = connect_timeout,
                                                 .first_byte_ = order.first_chunk_timeout_,
                                                 .between_chunks_ = order.chunk_timeout_};
    const auto is_plain = order.target_ == state::target_kind::service;
    const auto engine_body =
        is_plain ? std::string{} : state.request_.chat_->engine_body(order.version_.model_);
    const auto& body = is_plain ? state.request_.plain_request_.body() : engine_body;
    state.attempt_.stream_ = co_await client_.open(order.address_, build_request_head(state), timeouts,
                                                   order.needs_new_connection_, body);
    if (state.attempt_.is_cancelled_)
        co_return;
    if (!check_headers(state))
        co_return;
    if (order.target_ == state::target_kind::service)
        co_await read_plain_answer(state);
    else
        co_await read_stream(state);
}

auto attempt_runner::build_request_head(const progress& state) const -> http::request
{
    const auto& order = state.attempt_.order_;
    const auto& request = state.request_;
    if (order.target_ == state::target_kind::service) {
        auto message = http::request{request.plain_request_.base()};
        message.set(protocol::caller::request_id_header, request.description_.id_.text());
        return message;
    }
    auto message = http::request{http::beast::http::verb::post, "/v1/chat/completions", 11};
    message.set(http::beast::http::field::content_type, "application/json");
    message.set(protocol::caller::version_header, order.version_.text());
    message.set(protocol::caller::request_id_header, request.description_.id_.text());
    if (order.resume_offset_ > 0)
        message.set("X-Resume-Offset", std::to_string(order.resume_offset_));
    return message;
}

auto attempt_runner::check_headers(progress& state) -> bool
{
    const auto& stream = *state.attempt_.stream_;
    auto& result = state.result_;
    const auto answered = stream.header(protocol::caller::request_id_header);
    state.is_named_ = answered == state.request_.description_.id_.text();
    if (!answered.empty() && !state.is_named_) {
        log_.warn("answer to another request dropped request=" +
                  transport::logging::field_text(state.request_.description_.id_.text()) + " endpoint=" +
                  state.attempt_.order_.address_.text() + " status=" + std::to_string(stream.status()));
        client_.drop_idle(state.attempt_.order_.address_);
        result.kind_ = attempt_result_kind::failed;
        return false;
    }
    result.is_leaving_ = stream.header("X-Leaving") == "true";
    if (const auto running = state::number_from_text<std::uint64_t>(stream.header("X-Running")))
        result.reported_running_ = static_cast<std::int32_t>(*running);
    const auto status = stream.status();
    if (stream.header("X-Not-Run") == "true") {
        result.kind_ = attempt_result_kind::declined;
        return false;
    }
    // Every response of a plain service below status 500 is passed on as its answer.
    const auto is_plain = state.attempt_.order_.target_ == state::target_kind::service;
    if (status >= first_server_error || (status != status_ok && !is_plain)) {
        const auto is_client_error = status >= first_client_error && status < first_server_error;
        result.kind_ = is_client_error ? attempt_result_kind::rejected : attempt_result_kind::failed;
        return false;
    }
    if (!is_plain &&
        stream.header(protocol::caller::version_header) != state.attempt_.order_.version_.text()) {
        result.kind_ = attempt_result_kind::wrong_version;
        return false;
    }
    return true;
}

auto attempt_runner::read_plain_answer(progress& state) -> http::awaitable<void>
{
    auto& stream = *state.attempt_.stream_;
    auto body = co_await stream.read_all(state.attempt_.order_.chunk_timeout_, max_plain_answer_size);
    state.attempt_.outcome_ = {.status_ = static_cast<std::uint16_t>(stream.status()),
                               .content_type_ = stream.header("Content-Type"),
                               .body_ = std::move(body)};
    state.result_.kind_ = attempt_result_kind::complete;
    if (!stream.ends_with_connection())
        co_return;
    // The connections of a process that ends, or that has not read the whole request, are closed like those
    // of answers that are complete.
    const auto is_alive = co_await client_.is_reachable(state.attempt_.order_.address_, probe_timeout);
    if (!is_alive)
        state.result_.kind_ = attempt_result_kind::crashed;
    else if (stream.was_reset())
        state.result_.kind_ = attempt_result_kind::broken;
}

auto attempt_runner::read_stream(progress& state) -> http::awaitable<void>
{
    auto parser = protocol::event_stream::parser{};
    const auto timeout = state.attempt_.order_.chunk_timeout_;
    while (!state.has_end_mark_) {
        const auto bytes = co_await state.attempt_.stream_->read_some(timeout);
        if (bytes.empty())
            co_return;
        for (auto& event : parser.feed(bytes)) {
            if (!process_event(state, event.id_, event.data_))
                co_return;
        }
        co_await state.request_.output_.wait_for_room();
    }
    // The connection can be reused only after the body is read to its end; the wait for that is kept short.
    co_await state.attempt_.stream_->read_some(tail_read_timeout);
}

auto attempt_runner::process_event(progress& state, const std::string& id, std::string& data) -> bool
{
    using coordination::answer::chunk_verdict;
    const auto offset = state::number_from_text<std::uint64_t>(id);
    const auto attempt = state.attempt_.order_.attempt_;
    if (data == protocol::event_stream::end_marker) {
        state.has_end_mark_ = true;
        const auto is_complete = offset && state.request_.relay_.is_complete(attempt, *offset);
        state.result_.kind_ = is_complete ? attempt_result_kind::complete : attempt_result_kind::broken;
        return is_complete;
    }
    if (!offset) {
        if (const auto tokens = read_token_count(data))
            state.result_.tokens_ = *tokens;
        return true;
    }
    const auto verdict = state.request_.relay_.judge(attempt, *offset);
    if (verdict == chunk_verdict::accept)
        process_chunk(state, data);
    return verdict != chunk_verdict::gap;
}

auto attempt_runner::process_chunk(progress& state, std::string& data) -> void
{
    if (state.attempt_.order_.release_ == release_mode::hold) {
        state.attempt_.held_chunks_.push_back(std::move(data));
        return;
    }
    auto& sampled_chunks = state.attempt_.sampled_chunks_;
    if (state.attempt_.order_.is_rated_later_ && sampled_chunks.size() < max_sampled_chunks)
        sampled_chunks.push_back(data);
    const auto now = clock_.now();
    if (!state.request_.has_begun_)
        metrics_.record_first_token(now - state.request_.arrived_);
    else if (state.last_chunk_at_ != state::time_point{})
        metrics_.record_between_tokens(now - state.last_chunk_at_);
    state.last_chunk_at_ = now;
    enqueue_chunk(state.request_, state.attempt_, std::move(data));
    state.request_.relay_.mark_released();
    if (!std::exchange(state.result_.is_released_, true))
        state.on_first_chunk_(state.attempt_.order_.attempt_);
}

auto attempt_runner::classify_error(progress& state, const http::client_error& error) -> http::awaitable<void>
{
    const auto& address = state.attempt_.order_.address_;
    switch (error.fault()) {
    case http::client_fault::not_sent:
        state.result_.kind_ = attempt_result_kind::nothing_sent;
        co_return;
    case http::client_fault::silent:
        // When one connection to a peer is dead, its idle connections are probably dead too.
        client_.drop_idle(address);
        state.result_.kind_ = attempt_result_kind::silent;
        co_return;
    case http::client_fault::malformed:
        state.result_.kind_ = attempt_result_kind::failed;
        co_return;
    case http::client_fault::closed:
        break;
    }
    client_.drop_idle(address);
    const auto is_alive = co_await client_.is_reachable(address, probe_timeout);
    state.result_.kind_ = is_alive ? attempt_result_kind::broken : attempt_result_kind::crashed;
}

} // namespace buckthorndale::services::router

#include <utility>

#include "router/attempt_runner.hpp"

#include "protocol/caller/header_names.hpp"
#include "protocol/event_stream/parser.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"

namespace buckthorndale::services::router {

namespace http = transport::http;
using coordination::routing::ending_kind;
using coordination::routing::release_mode;

namespace {

constexpr auto connect_limit = state::duration{std::chrono::milliseconds{500}};
constexpr auto tail_limit = state::duration{std::chrono::milliseconds{20}};
constexpr auto probe_limit = state::duration{std::chrono::milliseconds{200}};
/// An order older than this was held up by a freeze; what it was based on may have changed.
constexpr auto oldest_order = state::duration{std::chrono::seconds{1}};
constexpr auto largest_plain_answer = std::size_t{4'194'304};
/// Pieces of one answer that are kept for a rating; a longer answer is rated by its beginning.
constexpr auto most_sampled_pieces = std::size_t{2000};
constexpr auto success = 200U;
constexpr auto first_client_fault = 400U;
constexpr auto first_server_fault = 500U;

/// The tokens that the engine counted, from its usage event.
auto tokens_of(const std::string& data) -> std::optional<state::token_count>
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

auto give_out(caller_request& request, const network_attempt& attempt, std::string data) -> void
{
    if (!request.has_begun_) {
        request.has_begun_ = true;
        request.output_.push(answer_begun{.version_ = attempt.order_.version_,
                                          .attempts_ = static_cast<int>(request.attempts_.size())});
    }
    request.output_.push(answer_piece{std::move(data)});
}

auto attempt_runner::run(std::shared_ptr<caller_request> request, std::shared_ptr<network_attempt> attempt,
                         first_piece_callback on_first_piece)
    -> http::awaitable<coordination::routing::attempt_ending>
{
    auto state =
        progress{.request_ = *request, .attempt_ = *attempt, .on_first_piece_ = std::move(on_first_piece)};
    state.ending_.attempt_ = attempt->order_.attempt_;
    state.ending_.kind_ = ending_kind::broken;
    metrics_.record_attempt();
    auto fault = std::optional<http::client_error>{};
    try {
        co_await run_checked(state);
    } catch (const http::client_error& caught) {
        fault = caught;
    } catch (const state::error&) {
        state.ending_.kind_ = ending_kind::failed;
    }
    if (fault && !state.has_end_mark_)
        co_await judge_fault(state, *fault);
    state.ending_.pieces_accepted_ = request->relay_.accepted();
    if (state.ending_.tokens_ == state::token_count{})
        state.ending_.tokens_ = state::token_count{static_cast<std::int64_t>(request->relay_.accepted())};
    if (attempt->stream_ && state.ending_.kind_ == ending_kind::whole)
        attempt->stream_->release();
    attempt->stream_.reset();
    co_return state.ending_;
}

auto attempt_runner::run_checked(progress& state) -> http::awaitable<void>
{
    const auto& order = state.attempt_.order_;
    if (clock_.now() - order.issued_ > oldest_order) {
        state.ending_.kind_ = ending_kind::nothing_sent;
        co_return;
    }
    state.request_.relay_.follow(order.attempt_, order.resume_offset_);
    const auto bounds = http::client::limits{
        .connect_ = connect_limit, .first_byte_ = order.first_piece_limit_, .between_ = order.piece_limit_};
    state.attempt_.stream_ =
        co_await client_.open(order.address_, message_for(state), bounds, order.needs_new_connection_);
    if (state.attempt_.is_cancelled_)
        co_return;
    if (!judge_header(state))
        co_return;
    if (order.target_ == state::target_kind::service)
        co_await read_plain(state);
    else
        co_await follow_stream(state);
}

auto attempt_runner::message_for(const progress& state) const -> http::request
{
    const auto& order = state.attempt_.order_;
    const auto& request = state.request_;
    if (order.target_ == state::target_kind::service) {
        auto message = request.plain_;
        message.set(protocol::caller::request_id_header, request.description_.id_.text());
        return message;
    }
    auto message = http::request{http::beast::http::verb::post, "/v1/chat/completions", 11};
    message.set(http::beast::http::field::content_type, "application/json");
    message.set(protocol::caller::version_header, order.version_.text());
    message.set(protocol::caller::request_id_header, request.description_.id_.text());
    if (order.resume_offset_ > 0)
        message.set("X-Resume-Offset", std::to_string(order.resume_offset_));
    message.body() = request.chat_->engine_body(order.version_.model_);
    return message;
}

auto attempt_runner::judge_header(progress& state) -> bool
{
    const auto& stream = *state.attempt_.stream_;
    auto& ending = state.ending_;
    ending.is_leaving_ = stream.header("X-Leaving") == "true";
    if (const auto running = state::number_from_text<std::uint64_t>(stream.header("X-Running")))
        ending.reported_running_ = static_cast<std::int32_t>(*running);
    const auto status = stream.status();
    if (stream.header("X-Not-Run") == "true") {
        ending.kind_ = ending_kind::declined;
        return false;
    }
    // Whatever a plain service answers is its answer, unless it failed.
    const auto is_plain = state.attempt_.order_.target_ == state::target_kind::service;
    if (status >= first_server_fault || (status != success && !is_plain)) {
        const auto is_callers_fault = status >= first_client_fault && status < first_server_fault;
        ending.kind_ = is_callers_fault ? ending_kind::rejected : ending_kind::failed;
        return false;
    }
    if (!is_plain &&
        stream.header(protocol::caller::version_header) != state.attempt_.order_.version_.text()) {
        ending.kind_ = ending_kind::wrong_version;
        return false;
    }
    return true;
}

auto attempt_runner::read_plain(progress& state) -> http::awaitable<void>
{
    auto& stream = *state.attempt_.stream_;
    auto body = co_await stream.read_all(state.attempt_.order_.piece_limit_, largest_plain_answer);
    state.attempt_.outcome_ = {.status_ = static_cast<std::uint16_t>(stream.status()),
                               .content_type_ = stream.header("Content-Type"),
                               .body_ = std::move(body)};
    state.ending_.kind_ = ending_kind::whole;
}

auto attempt_runner::follow_stream(progress& state) -> http::awaitable<void>
{
    auto parser = protocol::event_stream::parser{};
    const auto limit = state.attempt_.order_.piece_limit_;
    while (!state.has_end_mark_) {
        const auto bytes = co_await state.attempt_.stream_->read_some(limit);
        if (bytes.empty())
            co_return;
        for (auto& event : parser.feed(bytes)) {
            if (!take_event(state, event.id_, event.data_))
                co_return;
        }
        co_await state.request_.output_.wait_for_room();
    }
    // The connection can serve again only when the body is read to its end, which is not waited for long.
    co_await state.attempt_.stream_->read_some(tail_limit);
}

auto attempt_runner::take_event(progress& state, const std::string& id, std::string& data) -> bool
{
    using coordination::answer::piece_verdict;
    const auto offset = state::number_from_text<std::uint64_t>(id);
    const auto attempt = state.attempt_.order_.attempt_;
    if (data == protocol::event_stream::end_marker) {
        state.has_end_mark_ = true;
        const auto is_whole = offset && state.request_.relay_.is_whole(attempt, *offset);
        state.ending_.kind_ = is_whole ? ending_kind::whole : ending_kind::broken;
        return is_whole;
    }
    if (!offset) {
        if (const auto tokens = tokens_of(data))
            state.ending_.tokens_ = *tokens;
        return true;
    }
    const auto verdict = state.request_.relay_.judge(attempt, *offset);
    if (verdict == piece_verdict::accept)
        take_piece(state, data);
    return verdict != piece_verdict::gap;
}

auto attempt_runner::take_piece(progress& state, std::string& data) -> void
{
    if (state.attempt_.order_.release_ == release_mode::hold) {
        state.attempt_.held_.push_back(std::move(data));
        return;
    }
    auto& sampled = state.attempt_.sampled_;
    if (state.attempt_.order_.is_rated_later_ && sampled.size() < most_sampled_pieces)
        sampled.push_back(data);
    const auto now = clock_.now();
    if (!state.request_.has_begun_)
        metrics_.record_first_piece(now - state.request_.arrived_);
    else if (state.last_piece_ != state::time_point{})
        metrics_.record_between_pieces(now - state.last_piece_);
    state.last_piece_ = now;
    give_out(state.request_, state.attempt_, std::move(data));
    state.request_.relay_.mark_released();
    if (!std::exchange(state.ending_.is_released_, true))
        state.on_first_piece_(state.attempt_.order_.attempt_);
}

auto attempt_runner::judge_fault(progress& state, const http::client_error& fault) -> http::awaitable<void>
{
    const auto& address = state.attempt_.order_.address_;
    switch (fault.fault()) {
    case http::client_fault::not_sent:
        state.ending_.kind_ = ending_kind::nothing_sent;
        co_return;
    case http::client_fault::silent:
        // One dead connection to a peer makes the idle ones suspect too.
        client_.drop_idle(address);
        state.ending_.kind_ = ending_kind::silent;
        co_return;
    case http::client_fault::malformed:
        state.ending_.kind_ = ending_kind::failed;
        co_return;
    case http::client_fault::closed:
        break;
    }
    client_.drop_idle(address);
    const auto is_alive = co_await client_.is_reachable(address, probe_limit);
    state.ending_.kind_ = is_alive ? ending_kind::broken : ending_kind::crashed;
}

} // namespace buckthorndale::services::router

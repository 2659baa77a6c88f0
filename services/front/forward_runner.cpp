#include <utility>

#include "front/forward_runner.hpp"

#include "protocol/event_stream/event_order.hpp"
#include "state/error.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace buckthorndale::services::front {

namespace http = transport::http;
using coordination::forwarding::forward_outcome;

namespace {

/// Connections within a region open within a few milliseconds; an unreachable endpoint never answers.
constexpr auto connect_timeout = state::duration{std::chrono::milliseconds{250}};
/// Time in which an endpoint must accept a new connection after one broke; otherwise it counts as crashed.
constexpr auto reachability_timeout = state::duration{std::chrono::milliseconds{150}};

auto is_event_stream(const http::response_stream& stream) -> bool
{
    return stream.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

auto forward_runner::run(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt,
                         headers_callback on_headers)
    -> http::awaitable<coordination::forwarding::forward_attempt_result>
{
    auto state = progress{.call_ = *call,
                          .attempt_ = *attempt,
                          .on_headers_ = std::move(on_headers),
                          .buffered_ = http::answer_memory::share{memory_}};
    state.result_.attempt_ = attempt->command_.attempt_;
    auto fault = std::optional<http::client_fault>{};
    try {
        co_await send_and_receive(state);
    } catch (const http::client_error& caught) {
        fault = caught.fault();
    } catch (const state::error& caught) {
        log_.warn("answer not usable attempt=" + std::to_string(attempt->command_.attempt_.value()) +
                  " endpoint=" + transport::logging::field_text(attempt->command_.endpoint_.text()) +
                  " reason=\"" + transport::logging::quoted_text(caught.what()) + "\"");
        state.result_.outcome_ = forward_outcome::malformed;
    }
    if (fault && !attempt->is_cancelled_)
        co_await classify_fault(state, *fault);
    // Closing the connection cancels the request at the endpoint.
    if (attempt->stream_)
        attempt->stream_->cancel();
    co_return state.result_;
}

auto forward_runner::send_and_receive(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    const auto& command = attempt.command_;
    const auto request = platform::endpoint_request_head(state.call_.message_, command, clock_.now());
    const auto timeouts =
        http::client::timeouts{.connect_ = std::min(connect_timeout, command.first_byte_timeout_),
                               .first_byte_ = command.first_byte_timeout_};
    attempt.stream_ = co_await client_.send(
        command.address_, request, timeouts, [&attempt] { return !attempt.is_cancelled_; },
        state.call_.message_.body());
    if (attempt.is_cancelled_)
        co_return;
    co_await attempt.stream_->read_header(command.first_byte_timeout_);
    state.headers_received_at_ = clock_.now();
    const auto headers = platform::read_response_headers(attempt.stream_->head(), request);
    const auto should_continue = co_await handle_headers(state, headers);
    if (!should_continue)
        co_return;
    if (is_event_stream(*attempt.stream_))
        co_await relay_stream(state);
    else
        co_await read_complete_answer(state);
}

auto forward_runner::answer_headers(const progress& state) -> http::response
{
    const auto& command = state.attempt_.command_;
    return platform::caller_response_headers(
        *state.attempt_.stream_, state.call_.is_relayed_ ? command.endpoint_ : state::endpoint_id{});
}

auto forward_runner::handle_headers(progress& state, const platform::endpoint_response_headers& headers)
    -> http::awaitable<bool>
{
    auto& result = state.result_;
    const auto& command = state.attempt_.command_;
    if (headers.is_foreign_) {
        log_.warn("answer of another attempt dropped attempt=" + std::to_string(command.attempt_.value()) +
                  " endpoint=" + transport::logging::field_text(command.endpoint_.text()) +
                  " status=" + std::to_string(headers.status_));
        result.outcome_ = forward_outcome::malformed;
        co_return false;
    }
    const auto is_relayed = command.relayed_attempts_.has_value();
    // A pause concerns the instance that the endpoint answered.
    result.has_asked_for_pause_ = headers.notice_.asks_for_pause() && !is_relayed;
    // What another endpoint at this address states does not concern the one that was asked.
    if (headers.is_misdirected_) {
        result.outcome_ = forward_outcome::misdirected;
        result.answered_by_ = headers.named_endpoint_;
        co_return false;
    }
    auto notice = headers.notice_;
    if (is_relayed)
        notice.pause_ = state::duration::zero();
    state.on_headers_({.attempt_ = command.attempt_,
                       .confidence_ = headers.confidence_,
                       .endpoint_ = is_relayed ? headers.answering_endpoint_ : command.endpoint_,
                       .notice_ = std::move(notice),
                       .is_success_ = headers.is_success_ && headers.is_genuine_ && !headers.has_not_run_});
    // Another instance refuses for itself what no endpoint has answered.
    result.blames_request_ = platform::blames_request(headers.status_) && !is_relayed;
    if (headers.has_not_run_) {
        if (result.blames_request_)
            co_await read_complete_answer(state);
        result.outcome_ = forward_outcome::declined;
        co_return false;
    }
    if (!headers.is_genuine_) {
        result.outcome_ = forward_outcome::malformed;
        co_return false;
    }
    if (!headers.is_success_) {
        co_await read_complete_answer(state);
        result.outcome_ = forward_outcome::failed;
        result.promises_not_run_ = platform::promises_not_run(headers.status_);
        co_return false;
    }
    auto& attempt = state.attempt_;
    while (attempt.command_.is_held_ && !attempt.is_released_ && !attempt.is_cancelled_) {
        auto ignored = boost::system::error_code{};
        co_await attempt.release_timer_.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
    co_return !attempt.is_cancelled_;
}

auto forward_runner::read_complete_answer(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    const auto remaining = std::max(attempt.command_.deadline_ - clock_.now(), state::duration{1});
    auto answer = answer_headers(state);
    while (true) {
        const auto bytes = co_await attempt.stream_->read_some(remaining);
        if (bytes.empty())
            break;
        state.buffered_.resize(answer.body().size() + bytes.size());
        answer.body().append(bytes);
    }
    answer.prepare_payload();
    attempt.answer_ = std::move(answer);
    state.result_.outcome_ = forward_outcome::complete;
    co_await check_end(state);
}

auto forward_runner::relay_stream(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    while (true) {
        attempt.silent_for_ = state::duration::zero();
        attempt.next_stall_report_ = attempt.command_.stall_threshold_;
        attempt.is_awaiting_stream_ = true;
        const auto remaining = std::max(attempt.command_.deadline_ - clock_.now(), state::duration{1});
        const auto bytes = co_await attempt.stream_->read_some(remaining);
        attempt.is_awaiting_stream_ = false;
        if (attempt.is_cancelled_)
            co_return;
        if (bytes.empty())
            break;
        for (auto& event : state.splitter_.feed(bytes))
            relay_event(state, std::move(event));
        state.buffered_.resize(state.splitter_.partial_event().size());
        co_await state.call_.output_.wait_for_room();
    }
    state.result_.stream_time_ = clock_.now() - state.headers_received_at_;
    // A stream that ends within an event, or has none, is incomplete. Only the rest of a stream may be empty,
    // and then its end must have been announced.
    const auto has_end = state.has_received_events_ || !attempt.stream_->ends_with_connection();
    const auto is_complete =
        state.splitter_.partial_event().empty() && state.call_.has_sent_headers_ && has_end;
    state.result_.outcome_ = is_complete ? forward_outcome::complete : forward_outcome::broken;
    co_await check_end(state);
}

auto forward_runner::check_end(progress& state) -> http::awaitable<void>
{
    if (state.result_.outcome_ != forward_outcome::complete ||
        !state.attempt_.stream_->ends_with_connection())
        co_return;
    // The connections of a process that ends are closed like those of answers that are complete.
    const auto is_reachable =
        co_await client_.is_reachable(state.attempt_.command_.address_, reachability_timeout);
    if (!is_reachable)
        state.result_.outcome_ = forward_outcome::crashed;
    else if (state.attempt_.stream_->was_reset())
        state.result_.outcome_ = forward_outcome::broken;
}

auto forward_runner::relay_event(progress& state, protocol::event_stream::raw_event event) -> void
{
    using protocol::event_stream::event_verdict;
    auto& call = state.call_;
    const auto& command = state.attempt_.command_;
    const auto& last = call.last_event_.empty() ? command.resume_after_ : call.last_event_;
    const auto verdict = protocol::event_stream::judge_event(event, last, command.is_resumable_);
    if (verdict == event_verdict::misplaced)
        throw state::error{state::error_kind::endpoint_failed,
                           "A stream that may be continued has an event without a number.",
                           "Make the endpoint number the events."};
    state.has_received_events_ = true;
    // After a resume an endpoint may repeat events that the caller has received.
    if (verdict == event_verdict::repeated)
        return;
    if (!std::exchange(call.has_sent_headers_, true))
        call.output_.push(answer_started{answer_headers(state)});
    if (!event.id_.empty()) {
        state.result_.last_event_ = event.id_;
        call.last_event_ = event.id_;
    }
    ++state.result_.events_;
    const auto size = event.bytes_.size();
    call.output_.push(answer_chunk{std::move(event.bytes_)}, size);
    call.hold_queue();
}

auto forward_runner::classify_fault(progress& state, http::client_fault fault) -> http::awaitable<void>
{
    switch (fault) {
    case http::client_fault::not_sent:
        state.result_.outcome_ = forward_outcome::not_sent;
        co_return;
    case http::client_fault::silent:
        state.result_.outcome_ = forward_outcome::silent;
        co_return;
    case http::client_fault::malformed:
        state.result_.outcome_ = forward_outcome::malformed;
        co_return;
    case http::client_fault::closed:
        break;
    }
    const auto is_reachable =
        co_await client_.is_reachable(state.attempt_.command_.address_, reachability_timeout);
    state.result_.outcome_ = is_reachable ? forward_outcome::broken : forward_outcome::crashed;
}

} // namespace buckthorndale::services::front

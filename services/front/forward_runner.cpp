#include <utility>

#include "front/forward_runner.hpp"

#include "state/error.hpp"
#include "state/number_from_text.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace buckthorndale::services::front {

namespace http = transport::http;
using coordination::forwarding::forward_outcome;

namespace {

/// A connection inside a region opens within a few milliseconds; a dark endpoint never answers.
constexpr auto connect_limit = state::duration{std::chrono::milliseconds{250}};
/// How long an endpoint whose connection broke has to show that it takes new ones.
constexpr auto probe_limit = state::duration{std::chrono::milliseconds{150}};
/// Answers of plain services beyond this size are not passed on.
constexpr auto largest_answer = std::size_t{16'777'216};

auto is_event_stream(const http::response_stream& stream) -> bool
{
    return stream.header("Content-Type").starts_with("text/event-stream");
}

} // namespace

auto forward_runner::run(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt,
                         head_callback on_head) -> http::awaitable<coordination::forwarding::forward_ending>
{
    auto state = progress{.call_ = *call, .attempt_ = *attempt, .on_head_ = std::move(on_head)};
    state.ending_.attempt_ = attempt->order_.attempt_;
    auto fault = std::optional<http::client_fault>{};
    try {
        co_await run_checked(state);
    } catch (const http::client_error& caught) {
        fault = caught.fault();
    } catch (const state::error&) {
        state.ending_.outcome_ = forward_outcome::malformed;
    }
    if (fault && !attempt->is_cancelled_)
        co_await judge_fault(state, *fault);
    // The endpoint takes a closed connection for a cancellation.
    if (attempt->stream_)
        attempt->stream_->cancel();
    co_return state.ending_;
}

auto forward_runner::run_checked(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    const auto& order = attempt.order_;
    const auto sent = platform::endpoint_request(state.call_.message_, order, clock_.now());
    const auto bounds = http::client::limits{.connect_ = std::min(connect_limit, order.head_limit_),
                                             .first_byte_ = order.head_limit_};
    attempt.stream_ =
        co_await client_.send(order.address_, sent, bounds, [&attempt] { return !attempt.is_cancelled_; });
    if (attempt.is_cancelled_)
        co_return;
    co_await attempt.stream_->read_header(order.head_limit_);
    state.head_at_ = clock_.now();
    const auto head = platform::read_head(*attempt.stream_, sent);
    const auto may_go_on = co_await judge_head(state, head);
    if (!may_go_on)
        co_return;
    if (is_event_stream(*attempt.stream_))
        co_await follow_stream(state);
    else
        co_await read_whole(state);
}

auto forward_runner::judge_head(progress& state, const platform::endpoint_head& head) -> http::awaitable<bool>
{
    auto& ending = state.ending_;
    ending.is_leaving_ = head.is_leaving_;
    if (head.is_wrong_endpoint_) {
        ending.outcome_ = forward_outcome::wrong_endpoint;
        co_return false;
    }
    if (head.has_not_run_) {
        ending.outcome_ = forward_outcome::declined;
        co_return false;
    }
    if (!head.is_genuine_) {
        ending.outcome_ = forward_outcome::malformed;
        co_return false;
    }
    if (!head.is_success_) {
        co_await read_whole(state);
        ending.outcome_ = forward_outcome::failed;
        co_return false;
    }
    auto& attempt = state.attempt_;
    state.on_head_({.attempt_ = attempt.order_.attempt_, .confidence_ = head.confidence_});
    while (attempt.order_.is_held_ && !attempt.is_released_ && !attempt.is_cancelled_) {
        auto ignored = boost::system::error_code{};
        co_await attempt.released_.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
    co_return !attempt.is_cancelled_;
}

auto forward_runner::read_whole(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    const auto left = std::max(attempt.order_.deadline_ - clock_.now(), state::duration{1});
    auto answer = platform::caller_head(*attempt.stream_);
    answer.body() = co_await attempt.stream_->read_all(left, largest_answer);
    answer.prepare_payload();
    attempt.answer_ = std::move(answer);
    state.ending_.outcome_ = forward_outcome::whole;
}

auto forward_runner::follow_stream(progress& state) -> http::awaitable<void>
{
    auto& attempt = state.attempt_;
    while (true) {
        const auto bytes = co_await attempt.stream_->read_some(attempt.order_.gap_limit_);
        if (attempt.is_cancelled_)
            co_return;
        if (bytes.empty())
            break;
        for (auto& event : state.splitter_.feed(bytes))
            give_out(state, std::move(event));
        co_await state.call_.output_.wait_for_room();
    }
    state.ending_.stream_time_ = clock_.now() - state.head_at_;
    // A stream that ends inside an event, or without one, is not whole.
    const auto is_whole = state.splitter_.partial_event().empty() && state.call_.has_begun_;
    state.ending_.outcome_ = is_whole ? forward_outcome::whole : forward_outcome::broken;
}

auto forward_runner::give_out(progress& state, protocol::event_stream::raw_event event) -> void
{
    auto& call = state.call_;
    // After a resume an endpoint may begin with events that the caller has.
    const auto number = state::number_from_text<std::uint64_t>(event.id_);
    const auto last = state::number_from_text<std::uint64_t>(
        state.ending_.last_event_.empty() ? state.attempt_.order_.resume_after_ : state.ending_.last_event_);
    if (number && last && *number <= *last)
        return;
    if (!std::exchange(call.has_begun_, true))
        call.output_.push(answer_begun{platform::caller_head(*state.attempt_.stream_)});
    if (!event.id_.empty())
        state.ending_.last_event_ = event.id_;
    ++state.ending_.events_;
    call.output_.push(answer_portion{std::move(event.bytes_)});
}

auto forward_runner::judge_fault(progress& state, http::client_fault fault) -> http::awaitable<void>
{
    switch (fault) {
    case http::client_fault::not_sent:
        state.ending_.outcome_ = forward_outcome::not_sent;
        co_return;
    case http::client_fault::silent:
        state.ending_.outcome_ = forward_outcome::silent;
        co_return;
    case http::client_fault::malformed:
        state.ending_.outcome_ = forward_outcome::malformed;
        co_return;
    case http::client_fault::closed:
        break;
    }
    const auto is_alive = co_await client_.is_reachable(state.attempt_.order_.address_, probe_limit);
    state.ending_.outcome_ = is_alive ? forward_outcome::broken : forward_outcome::crashed;
}

} // namespace buckthorndale::services::front

#include <utility>

#include "front/network_duty.hpp"

#include "platform/caller_codec.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "transport/http/query.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace buckthorndale::services::front {

namespace http = transport::http;

namespace {

constexpr auto text_type = "text/plain; charset=utf-8";
constexpr auto metrics_type = "text/plain; version=0.0.4";

auto caller_server(const front_settings& settings) -> http::server_settings
{
    return {.address_ = settings.callers_};
}

auto probe_server(const front_settings& settings) -> http::server_settings
{
    constexpr auto most_probes = std::size_t{64};
    return {.address_ = settings.probes_, .max_connections_ = most_probes};
}

/// Ends an attempt, whether it waits for its release or for its endpoint.
auto stop_attempt(forward_attempt& attempt) -> void
{
    attempt.is_cancelled_ = true;
    attempt.released_.cancel();
    if (attempt.stream_)
        attempt.stream_->cancel();
}

} // namespace

network_duty::network_duty(const front_settings& settings, std::function<bool()> is_ready)
    : is_ready_{std::move(is_ready)}, client_{duty_.context()}, runner_{client_},
      callers_{duty_.context(), caller_server(settings),
               [this](http::exchange& exchange) { return serve_caller(exchange); }},
      probes_{duty_.context(), probe_server(settings),
              [this](http::exchange& exchange) { return serve_probe(exchange); }},
      from_decision_{ring_size, duty_.context(), [this](network_action& action) { take(action); }}
{}

auto network_duty::start() -> void
{
    callers_.start();
    probes_.start();
    duty_.start();
}

auto network_duty::stop() -> void
{
    duty_.stop();
}

auto network_duty::set_limits(const state::caller_limits& limits) -> void
{
    http::asio::post(duty_.context(), [this, limits] { callers_.set_limits(limits); });
}

auto network_duty::announce_closing() -> void
{
    http::asio::post(duty_.context(), [this] { callers_.announce_closing(); });
}

auto network_duty::close_idle() -> void
{
    http::asio::post(duty_.context(), [this] { callers_.close_idle(); });
}

auto network_duty::serve_probe(http::exchange& exchange) -> http::awaitable<void>
{
    const auto path = http::split_target(exchange.message().target()).path_;
    if (path == "/metrics") {
        co_await exchange.send(http::make_response(200, metrics_type, metrics_.page(calls_.size())));
        co_return;
    }
    const auto is_ready = is_ready_();
    co_await exchange.send(
        http::make_response(is_ready ? 200 : 503, text_type, is_ready ? "ready\n" : "not ready\n"));
}

auto network_duty::serve_caller(http::exchange& exchange) -> http::awaitable<void>
{
    auto request = platform::read_request(exchange.message());
    last_handle_ = last_handle_.next();
    const auto handle = last_handle_;
    const auto call = std::make_shared<forwarded_call>(duty_.context(), handle, exchange.message());
    call->arrived_ = clock_.now();
    calls_.emplace(handle, call);
    open_calls_.store(calls_.size());
    exchange.watch_for_disconnect([this, handle] { tell_decision(caller_gone{handle}); });
    tell_decision(request_arrived{handle, std::move(request)});
    auto has_failed = false;
    try {
        co_await write_answer(exchange, *call);
    } catch (const boost::system::system_error&) {
        has_failed = true;
    }
    calls_.erase(handle);
    open_calls_.store(calls_.size());
    if (has_failed) {
        call->output_.close();
        tell_decision(caller_gone{handle});
        exchange.abort();
    }
}

auto network_duty::write_answer(http::exchange& exchange, forwarded_call& call) -> http::awaitable<void>
{
    while (true) {
        auto item = co_await call.output_.next();
        if (auto* begun = std::get_if<answer_begun>(&item)) {
            metrics_.record_first_piece(clock_.now() - call.arrived_);
            co_await exchange.begin(std::move(begun->head_));
        } else if (const auto* portion = std::get_if<answer_portion>(&item)) {
            co_await exchange.send_chunk(portion->bytes_);
        } else if (auto* whole = std::get_if<whole_answer>(&item)) {
            co_await exchange.send(std::move(whole->answer_));
            co_return;
        } else if (std::holds_alternative<answer_ended>(item)) {
            co_await exchange.end();
            co_return;
        } else {
            exchange.abort();
            co_return;
        }
    }
}

auto network_duty::take(network_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const forwarding::forward_order& order) { begin_attempt(order); },
                   [this](const cancel_attempt& item) { cancel(item.attempt_); },
                   [this](const release_attempt& item) { release(item); },
                   [this](const finish_request& item) { finish(item); },
                   [this](const refuse_request& item) { refuse(item); },
               },
               action);
}

auto network_duty::begin_attempt(const forwarding::forward_order& order) -> void
{
    const auto call = find(order.request_);
    // The caller may have left while the order was under way.
    if (!call)
        return;
    auto attempt = std::make_shared<forward_attempt>(duty_.context(), order);
    call->attempts_.emplace(order.attempt_, attempt);
    attempts_.emplace(order.attempt_, attempt);
    metrics_.record_attempt();
    http::asio::co_spawn(duty_.context(), run_attempt(call, std::move(attempt)), http::asio::detached);
}

auto network_duty::run_attempt(std::shared_ptr<forwarded_call> call, std::shared_ptr<forward_attempt> attempt)
    -> http::awaitable<void>
{
    const auto on_head = [this](const forwarding::answer_head& head) { tell_decision(head); };
    const auto ending = co_await runner_.run(call, attempt, on_head);
    attempts_.erase(ending.attempt_);
    if (!attempt->is_cancelled_)
        tell_decision(ending);
}

auto network_duty::cancel(state::attempt_handle attempt) -> void
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end())
        stop_attempt(*found->second);
}

auto network_duty::release(const release_attempt& action) -> void
{
    const auto found = attempts_.find(action.attempt_);
    if (found == attempts_.end())
        return;
    found->second->is_released_ = true;
    found->second->released_.cancel();
}

auto network_duty::finish(const finish_request& action) -> void
{
    const auto call = find(action.request_);
    if (!call)
        return;
    metrics_.record_answer(clock_.now() - call->arrived_);
    auto& answer = call->attempts_.at(action.attempt_)->answer_;
    if (!answer) {
        call->output_.push(answer_ended{});
        return;
    }
    verify(!call->has_begun_, state::promise::whole_answer, "two answers must not be joined");
    call->output_.push(whole_answer{std::move(*answer)});
}

auto network_duty::refuse(const refuse_request& action) -> void
{
    const auto call = find(action.request_);
    if (!call)
        return;
    metrics_.record_refusal(action.why_.kind_);
    if (call->has_begun_)
        call->output_.push(answer_cut{});
    else
        call->output_.push(whole_answer{platform::refusal_answer(action.why_)});
}

auto network_duty::find(state::request_handle handle) -> std::shared_ptr<forwarded_call>
{
    const auto found = calls_.find(handle);
    return found == calls_.end() ? nullptr : found->second;
}

auto network_duty::tell_decision(network_event event) -> void
{
    const auto is_taken = decision_->try_push(std::move(event));
    verify(is_taken, state::promise::internal_consistency,
           "the ring must have room for the requests that one instance may hold");
}

} // namespace buckthorndale::services::front

#include <utility>

#include "front/network_worker.hpp"

#include "platform/caller_codec.hpp"
#include "platform/endpoint_codec.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "transport/http/query.hpp"
#include "transport/logging/failure_log.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <exception>

namespace buckthorndale::services::front {

namespace http = transport::http;

namespace {

constexpr auto text_content_type = "text/plain; charset=utf-8";
constexpr auto metrics_content_type = "text/plain; version=0.0.4";

auto server_settings(const state::network_address& address,
                     const std::shared_ptr<http::caller_memory>& memory) -> http::server_settings
{
    return {.address_ = address, .memory_ = memory};
}

auto probe_server_settings(const front_settings& settings, const std::shared_ptr<http::caller_memory>& memory)
    -> http::server_settings
{
    constexpr auto max_probe_connections = std::size_t{64};
    return {
        .address_ = settings.probe_address_, .max_connections_ = max_probe_connections, .memory_ = memory};
}

/// Connections within a region open within a few milliseconds, and endpoints answer probes beside their work.
constexpr auto probe_timeout = state::duration{std::chrono::milliseconds{300}};

/// A health check waits for a slot like any request.
constexpr auto identity_timeout = state::duration{std::chrono::seconds{2}};

/// Between reports of the same stall, since an endpoint that accepts the stream may appear meanwhile.
constexpr auto stall_report_interval = state::duration{std::chrono::milliseconds{500}};
constexpr auto stall_check_interval = state::duration{std::chrono::milliseconds{100}};
/// A longer time between two checks means that this process was paused.
constexpr auto max_stall_check_interval = 2 * stall_check_interval;

/// Puts on account what the decision worker keeps of a request.
auto hold_decision(http::caller_share& share, const forwarding::forward_request& request) -> void
{
    // Texts of the request are kept by several tables.
    constexpr auto copies = std::size_t{4};
    auto bytes = request.prompt_.capacity() * sizeof(forwarding::prompt_part);
    bytes += copies * (request.id_.text().size() + request.session_.text().size() + request.path_.size());
    if (!share.try_hold(http::held_part::decision, bytes))
        throw state::error{state::error_kind::no_capacity,
                           "The requests at this instance take all of its memory for them.",
                           "Send the request again after a second."};
}

auto stop_connection(forward_attempt& attempt) -> void
{
    if (attempt.stream_)
        attempt.stream_->cancel();
}

/// Cancels an attempt that waits for its release or for its endpoint.
auto stop_attempt(forward_attempt& attempt) -> void
{
    attempt.is_cancelled_ = true;
    attempt.release_timer_.cancel();
    stop_connection(attempt);
}

} // namespace

network_worker::network_worker(const front_settings& settings, std::function<bool()> is_ready,
                               std::function<std::size_t()> decision_requests,
                               std::function<forwarding::endpoint_counts()> endpoint_counts,
                               const store_gauge& store)
    : is_ready_{std::move(is_ready)}, decision_requests_{std::move(decision_requests)},
      endpoint_counts_{std::move(endpoint_counts)}, store_{store},
      client_{worker_.context(), http::client::endpoint_max_unacknowledged}, runner_{client_},
      memory_{std::make_shared<http::caller_memory>(caller_memory_bytes(settings))},
      callers_{worker_.context(), server_settings(settings.caller_address_, memory_),
               [this](http::exchange& exchange) { return serve_caller(exchange, false); }},
      relayed_{worker_.context(), server_settings(relay_address(settings), memory_),
               [this](http::exchange& exchange) { return serve_caller(exchange, true); }},
      probes_{worker_.context(), probe_server_settings(settings, memory_),
              [this](http::exchange& exchange) { return serve_probe(exchange); }},
      stall_ticker_{worker_.context(), stall_check_interval, [this] { report_stalled_attempts(); }},
      from_decision_{ring_capacity, worker_.context(), [this](network_action& action) { perform(action); }}
{}

auto network_worker::start() -> void
{
    last_stall_check_ = clock_.now();
    stall_ticker_.start();
    callers_.start();
    relayed_.start();
    probes_.start();
    worker_.start();
}

auto network_worker::stop() -> void
{
    worker_.stop();
}

auto network_worker::set_limits(const state::caller_limits& limits) -> void
{
    http::asio::post(worker_.context(), [this, limits] {
        callers_.set_limits(limits);
        relayed_.set_limits(limits);
    });
}

auto network_worker::announce_closing() -> void
{
    http::asio::post(worker_.context(), [this] { callers_.announce_closing(); });
}

auto network_worker::close_idle() -> void
{
    http::asio::post(worker_.context(), [this] { callers_.close_idle(); });
}

auto network_worker::serve_probe(http::exchange& exchange) -> http::awaitable<void>
{
    const auto path = http::split_target(exchange.message().target()).path_;
    if (path == "/metrics") {
        co_await exchange.send(http::make_response(200, metrics_content_type, metrics_.page(load())));
        co_return;
    }
    // The load balancer sends new connections elsewhere before callers have to be refused.
    const auto is_ready = is_ready_() && !callers_.is_crowded();
    co_await exchange.send(
        http::make_response(is_ready ? 200 : 503, text_content_type, is_ready ? "ready\n" : "not ready\n"));
}

auto network_worker::load() const -> network_load
{
    auto load =
        network_load{.calls_ = calls_.size(), .attempts_ = attempts_.size(), .callers_ = callers_.counts()};
    for (const auto& [handle, call] : calls_) {
        if (call->is_decided_)
            ++load.decided_calls_;
        else if (call->has_sent_headers_)
            ++load.streaming_calls_;
    }
    for (const auto kind : object_kinds) {
        if (const auto confirmed_at = store_.confirmed_at(kind))
            load.store_ages_[kind] = clock_.boot_now() - *confirmed_at;
    }
    const auto undecided = load.calls_ - load.decided_calls_;
    load.endpoints_ = endpoint_counts_();
    load.unknown_calls_ = undecided - std::min(undecided, decision_requests_());
    return load;
}

auto network_worker::serve_caller(http::exchange& exchange, bool is_relayed) -> http::awaitable<void>
{
    auto request = is_relayed ? platform::read_relayed_request(exchange.message())
                              : platform::read_request(exchange.message());
    exchange.set_label("request=" + transport::logging::field_text(request.id_.text()));
    hold_decision(*exchange.share(), request);
    last_handle_ = last_handle_.next();
    const auto handle = last_handle_;
    const auto call = std::make_shared<forwarded_call>(worker_.context(), handle, exchange.take_message(),
                                                       exchange.share(), is_relayed);
    call->arrived_at_ = clock_.now();
    calls_.emplace(handle, call);
    open_calls_.store(calls_.size());
    exchange.watch_for_disconnect([this, handle] { end_call(handle); });
    auto failure = std::exception_ptr{};
    try {
        post_to_decision(request_arrived{handle, std::move(request)});
        co_await write_answer(exchange, *call);
    } catch (...) {
        failure = std::current_exception();
    }
    end_call(handle);
    if (failure)
        std::rethrow_exception(failure);
}

auto network_worker::end_call(state::request_handle handle) -> void
{
    const auto found = calls_.find(handle);
    if (found == calls_.end())
        return;
    const auto call = found->second;
    calls_.erase(found);
    open_calls_.store(calls_.size());
    for (const auto& [attempt_handle, attempt] : call->attempts_)
        stop_attempt(*attempt);
    call->output_.close();
    if (!call->is_decided_)
        post_to_decision(caller_disconnected{handle});
}

auto network_worker::write_answer(http::exchange& exchange, forwarded_call& call) -> http::awaitable<void>
{
    while (true) {
        auto item = co_await call.output_.next();
        // The queue is closed when the caller has gone.
        if (!item)
            co_return;
        call.hold_queue();
        if (auto* started = std::get_if<answer_started>(&*item)) {
            metrics_.record_first_event(clock_.now() - call.arrived_at_);
            co_await exchange.begin(std::move(started->headers_));
        } else if (const auto* chunk = std::get_if<answer_chunk>(&*item)) {
            co_await exchange.send_chunk(chunk->bytes_);
        } else if (auto* complete = std::get_if<complete_answer>(&*item)) {
            co_await exchange.send(std::move(complete->answer_));
            co_return;
        } else if (std::holds_alternative<answer_ended>(*item)) {
            co_await exchange.end();
            co_return;
        } else {
            exchange.abort(std::get<answer_aborted>(*item).reason_);
            co_return;
        }
    }
}

auto network_worker::perform(network_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const forwarding::forward_command& command) { begin_attempt(command); },
                   [this](const cancel_attempt& item) { cancel(item.attempt_); },
                   [this](const release_attempt& item) { release(item); },
                   [this](const probe_endpoint& item) {
                       http::asio::co_spawn(worker_.context(), probe(item),
                                            transport::logging::failure_log{"network", "probe"});
                   },
                   [this](const identify_endpoint& item) {
                       http::asio::co_spawn(worker_.context(), identify(item),
                                            transport::logging::failure_log{"network", "identify"});
                   },
                   [this](const finish_request& item) { finish(item); },
                   [this](const refuse_request& item) { refuse(item); },
               },
               action);
}

auto network_worker::probe(probe_endpoint action) -> http::awaitable<void>
{
    const auto is_reachable =
        co_await client_.answers(action.address_, platform::probe_request(action.path_), probe_timeout);
    post_to_decision(endpoint_probed{.endpoint_ = action.endpoint_, .is_reachable_ = is_reachable});
}

auto network_worker::identify(identify_endpoint action) -> http::awaitable<void>
{
    constexpr auto needs_new_connection = true;
    const auto timeouts = http::client::timeouts{.connect_ = probe_timeout, .first_byte_ = identity_timeout};
    auto named = state::endpoint_id{};
    try {
        const auto stream = co_await client_.open(action.address_, platform::probe_request(action.path_),
                                                  timeouts, needs_new_connection);
        named = platform::read_named_endpoint(stream->head());
        // A health check tells whether the endpoint is cold, and nothing about requests.
        post_to_decision(forwarding::response_headers{
            .endpoint_ = named,
            .notice_ = {.cold_left_ = platform::read_notice(stream->head()).cold_left_},
            .is_success_ = false});
        stream->cancel();
    } catch (const http::client_error& fault) {
        log_.info(
            "endpoint not identified endpoint=" + transport::logging::field_text(action.endpoint_.text()) +
            " reason=\"" + fault.what() + "\"");
    }
    post_to_decision(endpoint_identified{.expected_ = action.endpoint_, .named_ = named});
}

auto network_worker::begin_attempt(const forwarding::forward_command& command) -> void
{
    const auto call = find_call(command.request_);
    // The caller may have disconnected before the command arrived.
    if (!call)
        return;
    auto attempt = std::make_shared<forward_attempt>(worker_.context(), command);
    // The attempt before may have delivered more events since the engine decided to replace it.
    if (!call->last_event_.empty())
        attempt->command_.resume_after_ = call->last_event_;
    call->attempts_.emplace(command.attempt_, attempt);
    attempts_.emplace(command.attempt_, attempt);
    metrics_.record_attempt();
    if (command.relayed_attempts_)
        metrics_.record_relay();
    http::asio::co_spawn(worker_.context(), run_attempt(call, std::move(attempt)),
                         transport::logging::failure_log{"network", "run_attempt"});
}

auto network_worker::run_attempt(std::shared_ptr<forwarded_call> call,
                                 std::shared_ptr<forward_attempt> attempt) -> http::awaitable<void>
{
    const auto on_headers = [this](const forwarding::response_headers& headers) {
        post_to_decision(headers);
    };
    auto result = forwarding::forward_attempt_result{.attempt_ = attempt->command_.attempt_,
                                                     .outcome_ = forwarding::forward_outcome::broken};
    auto failure = std::string{};
    try {
        result = co_await runner_.run(call, attempt, on_headers);
    } catch (const std::exception& fault) {
        failure = fault.what();
    }
    attempts_.erase(result.attempt_);
    if (!failure.empty()) {
        log_.error("attempt failed attempt=" + std::to_string(result.attempt_.value()) + " reason=\"" +
                   failure + "\"");
        stop_connection(*attempt);
        // What the caller has received is not known to the result, so the stream cannot be resumed.
        if (call->has_sent_headers_)
            call->output_.push(answer_aborted{"the attempt failed: " + failure});
    }
    if (!attempt->is_cancelled_)
        post_to_decision(result);
}

auto network_worker::report_stalled_attempts() -> void
{
    const auto now = clock_.now();
    const auto elapsed = std::min(now - std::exchange(last_stall_check_, now), max_stall_check_interval);
    for (auto& [handle, attempt] : attempts_) {
        if (!attempt->is_awaiting_stream_ || attempt->is_cancelled_)
            continue;
        attempt->silent_for_ += elapsed;
        if (attempt->silent_for_ < attempt->next_stall_report_)
            continue;
        attempt->next_stall_report_ = attempt->silent_for_ + stall_report_interval;
        const auto call = find_call(attempt->command_.request_);
        // The next report follows, so this one is dropped while the decision worker is behind.
        decision_->try_push(
            forwarding::stalled_attempt{.attempt_ = handle,
                                        .last_event_ = call ? call->last_event_ : std::string{},
                                        .silent_for_ = attempt->silent_for_});
    }
}

auto network_worker::cancel(state::attempt_handle attempt) -> void
{
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end())
        stop_attempt(*found->second);
}

auto network_worker::release(const release_attempt& action) -> void
{
    const auto found = attempts_.find(action.attempt_);
    if (found == attempts_.end())
        return;
    found->second->is_released_ = true;
    found->second->release_timer_.cancel();
}

auto network_worker::finish(const finish_request& action) -> void
{
    const auto call = find_call(action.request_);
    if (!call)
        return;
    call->is_decided_ = true;
    metrics_.record_answer(clock_.now() - call->arrived_at_);
    auto& answer = call->attempts_.at(action.attempt_)->answer_;
    if (!answer) {
        call->output_.push(answer_ended{});
        return;
    }
    // An earlier attempt may have delivered its first event after the engine had replaced it.
    if (call->has_sent_headers_)
        call->output_.push(answer_aborted{"an endpoint answered the rest of a stream without events"});
    else
        call->output_.push(complete_answer{std::move(*answer)});
}

auto network_worker::refuse(const refuse_request& action) -> void
{
    const auto call = find_call(action.request_);
    if (!call)
        return;
    call->is_decided_ = true;
    metrics_.record_refusal(action.refusal_.kind_);
    if (call->has_sent_headers_)
        call->output_.push(answer_aborted{std::string{state::to_string(action.refusal_.kind_)} + ": " +
                                          action.refusal_.detail_});
    else
        call->output_.push(complete_answer{call->is_relayed_
                                               ? platform::relayed_refusal_response(action.refusal_)
                                               : platform::refusal_response(action.refusal_)});
}

auto network_worker::find_call(state::request_handle handle) -> std::shared_ptr<forwarded_call>
{
    const auto found = calls_.find(handle);
    return found == calls_.end() ? nullptr : found->second;
}

auto network_worker::post_to_decision(network_event event) -> void
{
    const auto is_pushed = decision_->try_push(std::move(event));
    verify(is_pushed, state::guarantee::internal_consistency,
           "the ring to the decision worker must have room for all requests that one instance may hold");
}

} // namespace buckthorndale::services::front

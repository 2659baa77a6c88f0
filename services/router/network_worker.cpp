#include <utility>

#include "router/network_worker.hpp"

#include "protocol/caller/chat_answer.hpp"
#include "protocol/caller/problem.hpp"
#include "router/answer_writer.hpp"
#include "router/rating_client.hpp"
#include "router/request_reader.hpp"
#include "router/ring_sizes.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "transport/http/query.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace buckthorndale::services::router {

namespace http = transport::http;

namespace {

constexpr auto text_media_type = "text/plain; charset=utf-8";
constexpr auto metrics_media_type = "text/plain; version=0.0.4";

} // namespace

network_worker::network_worker(const router_settings& settings, health_checks checks)
    : settings_{settings}, health_checks_{std::move(checks)},
      client_{worker_.context(), http::client::endpoint_max_unacknowledged}, runner_{client_, metrics_},
      server_{worker_.context(), settings.callers_,
              [this](http::exchange& exchange) { return serve(exchange); }},
      from_decision_{action_ring_size, worker_.context(),
                     [this](network_action& action) { process(action); }},
      from_control_{event_ring_size, worker_.context(), [this](network_notice& notice) { process(notice); }}
{}

auto network_worker::connect(event_ring& decision, control_ring& control) -> void
{
    decision_ = &decision;
    control_ = &control;
}

auto network_worker::start() -> void
{
    server_.start();
    worker_.start();
}

auto network_worker::stop() -> void
{
    worker_.stop();
}

auto network_worker::stop_accepting() -> void
{
    http::asio::post(worker_.context(), [this] { server_.stop_accepting(); });
}

auto network_worker::serve(http::exchange& exchange) -> http::awaitable<void>
{
    const auto path = http::split_target(exchange.message().target()).path_;
    if (is_served_path(path))
        co_await serve_request(exchange);
    else
        co_await answer_probe(exchange, path);
}

auto network_worker::answer_probe(http::exchange& exchange, const std::string& path) -> http::awaitable<void>
{
    if (path == "/health") {
        co_await exchange.send(http::make_response(200, text_media_type, "alive\n"));
        co_return;
    }
    if (path == "/ready") {
        const auto is_ready = health_checks_.is_ready_() && !is_leaving_.load();
        co_await exchange.send(
            http::make_response(is_ready ? 200 : 503, text_media_type, is_ready ? "ready\n" : "not ready\n"));
        co_return;
    }
    if (path == "/metrics") {
        const auto page =
            metrics_.render(requests_.size(), server_.open_connections(), health_checks_.is_ready_());
        co_await exchange.send(http::make_response(200, metrics_media_type, page));
        co_return;
    }
    throw state::error{state::error_kind::not_found, "No such path: " + path + ".",
                       "Use /v1/chat/completions or /services/NAME/..."};
}

auto network_worker::serve_request(http::exchange& exchange) -> http::awaitable<void>
{
    const auto request = admit(exchange);
    const auto handle = request->handle_;
    exchange.set_label("request=" + transport::logging::field_text(request->description_.id_.text()));
    exchange.watch_for_disconnect([this, handle] { notify_decision(caller_disconnected{handle}); });
    auto writer = answer_writer{exchange, *request};
    auto has_failed = false;
    try {
        co_await writer.run();
    } catch (const boost::system::system_error&) {
        has_failed = true;
    }
    if (has_failed) {
        request->output_.close();
        notify_decision(caller_disconnected{handle});
        exchange.abort();
    }
}

auto network_worker::admit(http::exchange& exchange) -> std::shared_ptr<caller_request>
{
    if (configuration_->generation_ == state::generation{})
        throw state::error{state::error_kind::no_configuration, "This instance has no configuration yet.",
                           "Send the request again after a second."};
    if (decision_->room() < reserved_for_requests_in_flight)
        throw state::error{state::error_kind::no_capacity, "This instance is overloaded.",
                           "Send the request again after a second."};
    last_handle_ = last_handle_.next();
    auto request = std::make_shared<caller_request>(worker_.context(), last_handle_, exchange.share());
    request->arrived_ = clock_.now();
    read_caller_request(exchange.take_message(), *configuration_, *request);
    requests_.emplace(request->handle_, request);
    notify_decision(request_arrived{request->handle_, request->description_});
    return request;
}

auto network_worker::process(network_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const coordination::routing::attempt_command& order) { begin_attempt(order); },
                   [this](const cancel_attempt& item) { cancel(item.attempt_); },
                   [this](const rate_answer& item) {
                       // The request may have finished before its rating starts.
                       if (auto request = find(item.request_))
                           http::asio::co_spawn(worker_.context(), rate(item, std::move(request)),
                                                http::asio::detached);
                   },
                   [this](const release_answer& item) { release(item); },
                   [this](const finish_answer& item) { finish(item); },
                   [this](const replay_outcome& item) { replay(item.request_); },
                   [this](const refuse_request& item) { refuse(item); },
                   [this](const store_outcome& item) { store(item); },
               },
               action);
}

auto network_worker::process(network_notice& notice) -> void
{
    std::visit(state::overloaded{
                   [this](configuration_published& item) { configuration_ = std::move(item.configuration_); },
                   [this](outcome_found& item) {
                       if (const auto request = find(item.request_))
                           request->stored_outcome_ = std::move(item.outcome_);
                   },
               },
               notice);
}

auto network_worker::begin_attempt(const coordination::routing::attempt_command& order) -> void
{
    const auto request = find(order.request_);
    verify(request != nullptr, state::guarantee::internal_consistency, "an attempt must belong to a request");
    auto attempt = std::make_shared<network_attempt>();
    attempt->order_ = order;
    request->attempts_.emplace(order.attempt_, attempt);
    attempt_owners_.emplace(order.attempt_, order.request_);
    http::asio::co_spawn(worker_.context(), run_attempt(request, std::move(attempt)), http::asio::detached);
}

auto network_worker::run_attempt(std::shared_ptr<caller_request> request,
                                 std::shared_ptr<network_attempt> attempt) -> http::awaitable<void>
{
    const auto on_first_chunk = [this](state::attempt_handle handle) {
        notify_decision(first_chunk_released{handle});
    };
    const auto result = co_await runner_.run(request, attempt, on_first_chunk);
    attempt_owners_.erase(result.attempt_);
    if (!attempt->is_cancelled_)
        notify_decision(result);
}

auto network_worker::cancel(state::attempt_handle attempt) -> void
{
    const auto owner = attempt_owners_.find(attempt);
    if (owner == attempt_owners_.end())
        return;
    const auto request = find(owner->second);
    if (!request)
        return;
    auto& running = *request->attempts_.at(attempt);
    running.is_cancelled_ = true;
    if (running.stream_)
        running.stream_->cancel();
}

auto network_worker::rate(rate_answer action, std::shared_ptr<caller_request> request)
    -> http::awaitable<void>
{
    const auto attempt = request->attempts_.at(action.attempt_);
    const auto rating = co_await fetch_rating(client_, settings_.rating_, settings_.engine_.rating_timeout_,
                                              *request, *attempt);
    notify_decision(attempt_rated{action.request_, action.attempt_, rating});
}

auto network_worker::release(const release_answer& action) -> void
{
    const auto request = find(action.request_);
    if (!request)
        return;
    auto& attempt = *request->attempts_.at(action.attempt_);
    for (auto& chunk : attempt.held_chunks_)
        enqueue_chunk(*request, attempt, std::move(chunk));
    attempt.held_chunks_.clear();
}

auto network_worker::finish(const finish_answer& action) -> void
{
    const auto request = find(action.request_);
    if (!request)
        return;
    const auto& attempt = *request->attempts_.at(action.summary_.attempt_);
    if (request->description_.target_ == state::target_kind::service)
        request->output_.push(plain_answer{attempt.outcome_});
    request->output_.push(action.summary_);
    metrics_.record_answer(action.summary_, clock_.now() - request->arrived_);
    requests_.erase(action.request_);
}

auto network_worker::replay(state::request_handle handle) -> void
{
    const auto request = find(handle);
    if (!request)
        return;
    verify(request->stored_outcome_.has_value(), state::guarantee::whole_answer,
           "a stored outcome must be received before it is replayed");
    request->output_.push(plain_answer{std::move(*request->stored_outcome_)});
    request->output_.push(coordination::routing::answer_summary{});
    requests_.erase(handle);
}

auto network_worker::refuse(const refuse_request& action) -> void
{
    const auto request = find(action.request_);
    if (!request)
        return;
    metrics_.record_refusal(action.refusal_);
    request->output_.push(action.refusal_);
    requests_.erase(action.request_);
}

auto network_worker::store(const store_outcome& action) -> void
{
    const auto request = find(action.request_);
    if (!request)
        return;
    const auto& outcome = request->attempts_.at(action.attempt_)->outcome_;
    const auto is_pushed =
        control_->try_push(protocol::rpc::claim_ended_request{.key_ = action.key_,
                                                              .nonce_ = action.nonce_,
                                                              .end_ = protocol::rpc::claim_end::finished,
                                                              .outcome_ = outcome});
    verify(is_pushed, state::guarantee::internal_consistency,
           "the ring to the control worker must have room");
}

auto network_worker::find(state::request_handle request) -> std::shared_ptr<caller_request>
{
    const auto found = requests_.find(request);
    return found == requests_.end() ? nullptr : found->second;
}

auto network_worker::notify_decision(network_event event) -> void
{
    verify(decision_->try_push(std::move(event)), state::guarantee::internal_consistency,
           "the ring to the decision worker must have room for the events of all requests in flight");
}

} // namespace buckthorndale::services::router

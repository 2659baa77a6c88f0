#include <utility>

#include "router/control_worker.hpp"

#include "coordination/placement/holder_order.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "router/ring_sizes.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthorndale::services::router {

namespace http = transport::http;
namespace rpc = protocol::rpc;
namespace billing = coordination::billing;

namespace {

constexpr auto hello_interval = std::chrono::milliseconds{500};
constexpr auto hello_timeout = state::duration{std::chrono::milliseconds{800}};
constexpr auto unconfirmed_interval = std::chrono::milliseconds{50};
constexpr auto replication_interval = std::chrono::milliseconds{20};
constexpr auto copy_timeout = state::duration{std::chrono::milliseconds{150}};
constexpr auto claim_timeout = state::duration{std::chrono::seconds{1}};
constexpr auto announcement_timeout = state::duration{std::chrono::milliseconds{150}};

auto empty_result() -> Json::Value
{
    return Json::Value{Json::objectValue};
}

} // namespace

control_worker::control_worker(const router_settings& settings, state::incarnation incarnation)
    : settings_{settings}, incarnation_{incarnation}, client_{worker_.context()}, rpc_{client_},
      server_{worker_.context(),
              {.address_ = settings.control_},
              [this](http::exchange& exchange) { return serve(exchange); }},
      wake_timer_{worker_.context()}, from_decision_{action_ring_size, worker_.context(),
                                                     [this](control_action& action) { process(action); }},
      from_network_{action_ring_size, worker_.context(), [this](control_action& action) { process(action); }},
      bill_port_{.send_ = [this](const auto& holder, const auto& record) { send_copy(holder, record); },
                 .complete_ = [this](const auto& record,
                                     bool is_degraded) { copies_complete(record, is_degraded); }},
      replicator_{bill_port_}
{
    register_methods();
    evidence_.source_ = settings_.instance_;
    evidence_.life_ = incarnation_;
    // Until the instance list is known, only the agent of this instance holds copies.
    replicator_.set_holders({settings_.instance_});
}

auto control_worker::connect(decision_ring& decision, network_ring& network, content_predicate is_running)
    -> void
{
    is_running_ = std::move(is_running);
    decision_ = &decision;
    network_ = &network;
}

auto control_worker::start() -> void
{
    server_.start();
    http::asio::co_spawn(worker_.context(), run_hello_loop(), http::asio::detached);
    http::asio::co_spawn(worker_.context(), run_replication_loop(), http::asio::detached);
    worker_.start();
}

auto control_worker::stop() -> void
{
    worker_.stop();
}

auto control_worker::begin_shutdown() -> void
{
    http::asio::post(worker_.context(), [this] { notify_decision(shutdown_requested{}); });
}

auto control_worker::register_methods() -> void
{
    methods_.add(rpc::poke, [this](const Json::Value&) {
        wake_timer_.cancel();
        return empty_result();
    });
    methods_.add(rpc::claim_settled, [this](const Json::Value& parameters) {
        claim_settled(parameters);
        return empty_result();
    });
    methods_.add(rpc::learn_suspects, [this](const Json::Value& parameters) {
        auto message = rpc::read_suspects_request(parameters);
        auto result = empty_result();
        result["running"] = std::ranges::any_of(message.contents_, is_running_);
        notify_decision(suspects_received{std::move(message.endpoint_), std::move(message.contents_),
                                          message.is_cleared_});
        return result;
    });
}

auto control_worker::serve(http::exchange& exchange) -> http::awaitable<void>
{
    if (exchange.message().target() != rpc::path)
        throw state::error{state::error_kind::not_found, "No such path.", "Use /rpc."};
    co_await exchange.send(
        http::make_response(200, "application/json", methods_.process(exchange.message().body())));
}

auto control_worker::process(control_action& action) -> void
{
    const auto spawn = [this](awaitable<void> work) {
        http::asio::co_spawn(worker_.context(), std::move(work), http::asio::detached);
    };
    std::visit(state::overloaded{
                   [&](const claim_call& item) { spawn(claim(item)); },
                   [&](const rpc::claim_ended_request& item) { spawn(end_claim(item)); },
                   [this](const replicate_bill& item) {
                       billed_requests_[billing::id_of(item.record_)] = item.request_;
                       replicator_.add(item.record_, clock_.now());
                       pending_bills_.store(replicator_.pending());
                   },
                   [this](const refresh_requested&) { wake_timer_.cancel(); },
                   [&](const announce_crash& item) { spawn(announce(item)); },
                   [this](const announce_clear& item) { announce_cleared(item.content_); },
                   [this](evidence_counted& item) { evidence_.counts_ = std::move(item.counts_); },
               },
               action);
}

auto control_worker::run_hello_loop() -> awaitable<void>
{
    while (true) {
        const auto is_confirmed = co_await send_hello();
        if (is_confirmed != is_configuration_confirmed_)
            log_.info(is_confirmed ? "The agent confirms the configuration."
                                   : "The agent does not confirm the configuration.");
        is_configuration_confirmed_ = is_confirmed;
        wake_timer_.expires_after(is_confirmed ? hello_interval : unconfirmed_interval);
        auto ignored = boost::system::error_code{};
        co_await wake_timer_.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
}

auto control_worker::send_hello() -> awaitable<bool>
{
    const auto& current = *replica_.current();
    const auto message = rpc::hello_request{.router_incarnation_ = incarnation_,
                                            .router_ = settings_.control_,
                                            .digest_ = {.generation_ = current.generation_,
                                                        .chain_ = current.chain_,
                                                        .list_version_ = list_.version_},
                                            .evidence_ = evidence_};
    const auto asked_at = clock_.now();
    try {
        const auto result =
            co_await rpc_.call(settings_.agent_, rpc::hello, rpc::to_json(message), hello_timeout);
        const auto response = rpc::read_hello_response(result);
        process_hello_response(response, asked_at);
        co_return response.is_confirmed_;
    } catch (const http::client_error&) {
        co_return false;
    } catch (const state::error& error) {
        log_.warn(error.what());
        co_return false;
    }
}

auto control_worker::process_hello_response(const rpc::hello_response& response, state::time_point asked_at)
    -> void
{
    apply_updates(response.updates_);
    notify_decision(evidence_received{response.evidence_});
    if (response.is_confirmed_ && replica_.is_known())
        notify_decision(configuration_confirmed{replica_.current(), asked_at});
}

auto control_worker::apply_updates(const rpc::updates& updates) -> void
{
    const auto before = replica_.current()->generation_;
    if (updates.snapshot_)
        replica_.offer_snapshot(*updates.snapshot_);
    for (const auto& change : updates.changes_)
        replica_.offer_change(change);
    const auto& current = replica_.current();
    if (current->generation_ > before) {
        log_.info("Configuration updated to generation " + std::to_string(current->generation_.value()) +
                  ".");
        notify_network(configuration_published{current});
    }
    if (updates.list_ && updates.list_->version_ > list_.version_)
        apply_instance_list(*updates.list_);
}

auto control_worker::apply_instance_list(const state::instance_list& list) -> void
{
    list_ = list;
    replicator_.set_holders(
        coordination::placement::holder_order(settings_.instance_, settings_.data_centre_, list_.members_));
    auto local = std::vector<state::endpoint>{};
    for (const auto& endpoint : list_.endpoints_) {
        if (endpoint.data_centre_ == settings_.data_centre_)
            local.push_back(endpoint);
    }
    log_.info("Instance list updated to version " + std::to_string(list_.version_) + " with " +
              std::to_string(local.size()) + " endpoints in this data centre.");
    notify_decision(endpoints_updated{std::move(local)});
}

auto control_worker::run_replication_loop() -> awaitable<void>
{
    auto timer = http::asio::steady_timer{worker_.context()};
    while (true) {
        timer.expires_after(replication_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
        replicator_.tick(clock_.now());
        pending_bills_.store(replicator_.pending());
    }
}

auto control_worker::send_copy(const state::instance_id& holder, const state::bill_record& record) -> void
{
    auto agent = holder == settings_.instance_ ? std::optional{settings_.agent_} : std::nullopt;
    for (const auto& member : list_.members_) {
        if (!agent && member.id_ == holder)
            agent = member.agent_;
    }
    if (agent)
        http::asio::co_spawn(worker_.context(), deliver_copy(holder, *agent, record), http::asio::detached);
}

auto control_worker::deliver_copy(state::instance_id holder, state::network_address agent,
                                  state::bill_record record) -> awaitable<void>
{
    const auto id = billing::id_of(record);
    const auto message =
        rpc::hold_bill_request{.record_ = std::move(record), .is_primary_ = holder == settings_.instance_};
    auto is_held = false;
    try {
        const auto result = co_await rpc_.call(agent, rpc::hold_bill, rpc::to_json(message), copy_timeout);
        is_held = rpc::read_is_held(result);
    } catch (const http::client_error&) {
        is_held = false;
    } catch (const state::error& error) {
        log_.warn(error.what());
    }
    if (is_held)
        replicator_.acknowledge(id, holder, clock_.now());
    else
        replicator_.reject(id, holder, clock_.now());
}

auto control_worker::copies_complete(const state::bill_record& record, bool is_degraded) -> void
{
    if (is_degraded && list_.members_.size() >= billing::replication_factor)
        log_.warn("Bill " + record.key_.request_.text() + " is held by fewer instances than required.");
    const auto found = billed_requests_.find(billing::id_of(record));
    verify(found != billed_requests_.end(), state::guarantee::billed_once, "a bill must belong to a request");
    const auto request = found->second;
    billed_requests_.erase(found);
    notify_decision(bill_replicated{request});
}

auto control_worker::claim(claim_call call) -> awaitable<void>
{
    const auto message = rpc::claim_request{.router_incarnation_ = incarnation_,
                                            .ticket_ = call.request_.value(),
                                            .key_ = call.key_,
                                            .content_ = call.content_};
    try {
        co_await rpc_.call(settings_.agent_, rpc::claim, rpc::to_json(message), claim_timeout);
    } catch (const http::client_error&) {
        // The engine times the request out; a verdict that arrives after that is rejected.
        log_.warn("The agent did not acknowledge a claim; its request may time out.");
    } catch (const state::error& error) {
        log_.warn(error.what());
    }
}

auto control_worker::end_claim(rpc::claim_ended_request message) -> awaitable<void>
{
    try {
        co_await rpc_.call(settings_.agent_, rpc::claim_ended, rpc::to_json(message), claim_timeout);
    } catch (const http::client_error&) {
        // A claim whose end is not reported is read as in progress, never as not run.
        log_.warn("The agent did not acknowledge the end of a claim, which may stay in progress.");
    } catch (const state::error& error) {
        log_.warn(error.what());
    }
}

auto control_worker::claim_settled(const Json::Value& parameters) -> void
{
    auto message = rpc::read_claim_settled_request(parameters);
    if (message.router_incarnation_ != incarnation_)
        return;
    const auto request = state::request_handle{message.ticket_};
    if (message.verdict_.kind_ == coordination::claims::claim_verdict_kind::finished)
        notify_network(outcome_found{request, message.verdict_.outcome_});
    notify_decision(claim_answered{request, std::move(message.verdict_)});
}

auto control_worker::announce(announce_crash crash) -> awaitable<void>
{
    const auto content = crash.contents_.front();
    const auto message =
        rpc::to_json(rpc::suspects_request{.endpoint_ = crash.endpoint_, .contents_ = crash.contents_});
    log_.warn("Endpoint " + crash.endpoint_.text() + " crashed with content " +
              std::to_string(content.value()) + ".");
    // Counts one more than the messages sent, so that the count cannot reach 0 before all messages are sent.
    auto progress = std::make_shared<announcement>(announcement{.content_ = content, .pending_answers_ = 1});
    for (const auto& member : list_.members_) {
        if (member.id_ == settings_.instance_)
            continue;
        ++progress->pending_answers_;
        http::asio::co_spawn(worker_.context(), announce_to(member.router_, message, progress),
                             http::asio::detached);
    }
    record_response(*progress, false);
    co_return;
}

auto control_worker::announce_cleared(state::content_fingerprint content) -> void
{
    const auto message = rpc::to_json(rpc::suspects_request{.contents_ = {content}, .is_cleared_ = true});
    // Nothing waits for the responses; the count is set so high that it cannot reach 0.
    auto progress =
        std::make_shared<announcement>(announcement{.content_ = content, .pending_answers_ = SIZE_MAX});
    for (const auto& member : list_.members_) {
        if (member.id_ != settings_.instance_)
            http::asio::co_spawn(worker_.context(), announce_to(member.router_, message, progress),
                                 http::asio::detached);
    }
}

auto control_worker::announce_to(state::network_address router, Json::Value message,
                                 std::shared_ptr<announcement> progress) -> awaitable<void>
{
    auto is_running = false;
    try {
        const auto result =
            co_await rpc_.call(router, rpc::learn_suspects, std::move(message), announcement_timeout);
        is_running = result["running"].isBool() && result["running"].asBool();
    } catch (const http::client_error&) {
        // An unreachable router learns of the crash only when an attempt of its own crashes an endpoint.
    } catch (const state::error& error) {
        log_.warn(error.what());
    }
    record_response(*progress, is_running);
}

auto control_worker::record_response(announcement& progress, bool is_running) -> void
{
    progress.is_running_elsewhere_ = progress.is_running_elsewhere_ || is_running;
    if (--progress.pending_answers_ == 0)
        notify_decision(suspects_acknowledged{progress.content_, progress.is_running_elsewhere_});
}

auto control_worker::notify_decision(control_event event) -> void
{
    verify(decision_->try_push(std::move(event)), state::guarantee::internal_consistency,
           "the ring to the decision worker must have room");
}

auto control_worker::notify_network(network_notice notice) -> void
{
    verify(network_->try_push(std::move(notice)), state::guarantee::internal_consistency,
           "the ring to the network worker must have room");
}

} // namespace buckthorndale::services::router

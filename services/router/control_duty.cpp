#include <utility>

#include "router/control_duty.hpp"

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
constexpr auto hello_limit = state::duration{std::chrono::milliseconds{800}};
constexpr auto unconfirmed_interval = std::chrono::milliseconds{50};
constexpr auto replication_tick = std::chrono::milliseconds{20};
constexpr auto copy_limit = state::duration{std::chrono::milliseconds{150}};
constexpr auto claim_limit = state::duration{std::chrono::seconds{1}};
constexpr auto announce_limit = state::duration{std::chrono::milliseconds{150}};

auto empty_result() -> Json::Value
{
    return Json::Value{Json::objectValue};
}

} // namespace

control_duty::control_duty(const router_settings& settings, state::incarnation life)
    : settings_{settings}, life_{life}, client_{duty_.context()}, rpc_{client_},
      server_{duty_.context(),
              {.address_ = settings.control_},
              [this](http::exchange& exchange) { return serve(exchange); }},
      poked_{duty_.context()},
      from_decision_{action_ring_size, duty_.context(), [this](control_action& action) { take(action); }},
      from_network_{action_ring_size, duty_.context(), [this](control_action& action) { take(action); }},
      bill_port_{.send_ = [this](const auto& holder, const auto& record) { send_copy(holder, record); },
                 .complete_ = [this](const auto& record,
                                     bool is_degraded) { copies_complete(record, is_degraded); }},
      replicator_{bill_port_}
{
    offer_methods();
    evidence_.source_ = settings_.instance_;
    evidence_.life_ = life_;
    // Until the instance list is known, the own agent alone holds copies.
    replicator_.set_holders({settings_.instance_});
}

auto control_duty::connect(decision_ring& decision, network_ring& network, content_probe is_running) -> void
{
    is_running_ = std::move(is_running);
    decision_ = &decision;
    network_ = &network;
}

auto control_duty::start() -> void
{
    server_.start();
    http::asio::co_spawn(duty_.context(), keep_in_touch(), http::asio::detached);
    http::asio::co_spawn(duty_.context(), watch_replication(), http::asio::detached);
    duty_.start();
}

auto control_duty::stop() -> void
{
    duty_.stop();
}

auto control_duty::begin_shutdown() -> void
{
    http::asio::post(duty_.context(), [this] { tell_decision(shutdown_wanted{}); });
}

auto control_duty::offer_methods() -> void
{
    methods_.add(rpc::poke, [this](const Json::Value&) {
        poked_.cancel();
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
        tell_decision(
            suspects_heard{std::move(message.endpoint_), std::move(message.contents_), message.is_cleared_});
        return result;
    });
}

auto control_duty::serve(http::exchange& exchange) -> http::awaitable<void>
{
    if (exchange.message().target() != rpc::path)
        throw state::error{state::error_kind::not_found, "There is nothing here.", "Use /rpc."};
    co_await exchange.send(
        http::make_response(200, "application/json", methods_.process(exchange.message().body())));
}

auto control_duty::take(control_action& action) -> void
{
    const auto spawn = [this](awaitable<void> work) {
        http::asio::co_spawn(duty_.context(), std::move(work), http::asio::detached);
    };
    std::visit(state::overloaded{
                   [&](const claim_call& item) { spawn(claim(item)); },
                   [&](const rpc::claim_ended_request& item) { spawn(end_claim(item)); },
                   [this](const spread_bill& item) {
                       billed_requests_[billing::id_of(item.record_)] = item.request_;
                       replicator_.add(item.record_, clock_.now());
                       pending_bills_.store(replicator_.pending());
                   },
                   [this](const refresh_wanted&) { poked_.cancel(); },
                   [&](const announce_crash& item) { spawn(announce(item)); },
                   [this](const announce_clear& item) { clear(item.content_); },
                   [this](evidence_counted& item) { evidence_.counts_ = std::move(item.counts_); },
               },
               action);
}

auto control_duty::keep_in_touch() -> awaitable<void>
{
    while (true) {
        const auto is_confirmed = co_await say_hello();
        if (is_confirmed != is_in_touch_)
            log_.info(is_confirmed ? "The agent confirms the configuration." : "The agent does not confirm.");
        is_in_touch_ = is_confirmed;
        poked_.expires_after(is_confirmed ? hello_interval : unconfirmed_interval);
        auto ignored = boost::system::error_code{};
        co_await poked_.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
}

auto control_duty::say_hello() -> awaitable<bool>
{
    const auto& current = *replica_.current();
    const auto message = rpc::hello_request{.router_incarnation_ = life_,
                                            .router_ = settings_.control_,
                                            .digest_ = {.generation_ = current.generation_,
                                                        .chain_ = current.chain_,
                                                        .list_version_ = list_.version_},
                                            .evidence_ = evidence_};
    const auto asked_at = clock_.now();
    try {
        const auto result =
            co_await rpc_.call(settings_.agent_, rpc::hello, rpc::to_json(message), hello_limit);
        const auto response = rpc::read_hello_response(result);
        hear(response, asked_at);
        co_return response.is_confirmed_;
    } catch (const http::client_error&) {
        co_return false;
    } catch (const state::error& fault) {
        log_.warn(fault.what());
        co_return false;
    }
}

auto control_duty::hear(const rpc::hello_response& response, state::time_point asked_at) -> void
{
    hear_news(response.updates_);
    tell_decision(evidence_heard{response.evidence_});
    if (response.is_confirmed_ && replica_.is_known())
        tell_decision(configuration_confirmed{replica_.current(), asked_at});
}

auto control_duty::hear_news(const rpc::updates& updates) -> void
{
    const auto before = replica_.current()->generation_;
    if (updates.snapshot_)
        replica_.offer_snapshot(*updates.snapshot_);
    for (const auto& change : updates.changes_)
        replica_.offer_change(change);
    const auto& current = replica_.current();
    if (current->generation_ > before) {
        log_.info("The configuration is now of generation " + std::to_string(current->generation_.value()) +
                  ".");
        tell_network(configuration_published{current});
    }
    if (updates.list_ && updates.list_->version_ > list_.version_)
        hear_list(*updates.list_);
}

auto control_duty::hear_list(const state::instance_list& list) -> void
{
    list_ = list;
    replicator_.set_holders(
        coordination::placement::holder_order(settings_.instance_, settings_.data_centre_, list_.members_));
    auto local = std::vector<state::endpoint>{};
    for (const auto& endpoint : list_.endpoints_) {
        if (endpoint.data_centre_ == settings_.data_centre_)
            local.push_back(endpoint);
    }
    log_.info("The instance list is now of version " + std::to_string(list_.version_) + " with " +
              std::to_string(local.size()) + " endpoints here.");
    tell_decision(endpoints_listed{std::move(local)});
}

auto control_duty::watch_replication() -> awaitable<void>
{
    auto timer = http::asio::steady_timer{duty_.context()};
    while (true) {
        timer.expires_after(replication_tick);
        co_await timer.async_wait(http::asio::use_awaitable);
        replicator_.tick(clock_.now());
        pending_bills_.store(replicator_.pending());
    }
}

auto control_duty::send_copy(const state::instance_id& holder, const state::bill_record& record) -> void
{
    auto agent = holder == settings_.instance_ ? std::optional{settings_.agent_} : std::nullopt;
    for (const auto& member : list_.members_) {
        if (!agent && member.id_ == holder)
            agent = member.agent_;
    }
    if (agent)
        http::asio::co_spawn(duty_.context(), deliver_copy(holder, *agent, record), http::asio::detached);
}

auto control_duty::deliver_copy(state::instance_id holder, state::network_address agent,
                                state::bill_record record) -> awaitable<void>
{
    const auto id = billing::id_of(record);
    const auto message =
        rpc::hold_bill_request{.record_ = std::move(record), .is_primary_ = holder == settings_.instance_};
    auto is_held = false;
    try {
        const auto result = co_await rpc_.call(agent, rpc::hold_bill, rpc::to_json(message), copy_limit);
        is_held = rpc::read_is_held(result);
    } catch (const http::client_error&) {
        is_held = false;
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
    if (is_held)
        replicator_.acknowledge(id, holder, clock_.now());
    else
        replicator_.reject(id, holder, clock_.now());
}

auto control_duty::copies_complete(const state::bill_record& record, bool is_degraded) -> void
{
    if (is_degraded && list_.members_.size() >= billing::copies_wanted)
        log_.warn("Bill " + record.key_.request_.text() + " is held by fewer instances than wanted.");
    const auto found = billed_requests_.find(billing::id_of(record));
    verify(found != billed_requests_.end(), state::promise::billed_once, "a bill must belong to a request");
    const auto request = found->second;
    billed_requests_.erase(found);
    tell_decision(bill_kept{request});
}

auto control_duty::claim(claim_call call) -> awaitable<void>
{
    const auto message = rpc::claim_request{.router_incarnation_ = life_,
                                            .ticket_ = call.request_.value(),
                                            .key_ = call.key_,
                                            .content_ = call.content_};
    try {
        co_await rpc_.call(settings_.agent_, rpc::claim, rpc::to_json(message), claim_limit);
    } catch (const http::client_error&) {
        // The engine gives the request up in time; a verdict that comes later is turned down then.
        log_.warn("The agent did not take a claim.");
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto control_duty::end_claim(rpc::claim_ended_request message) -> awaitable<void>
{
    try {
        co_await rpc_.call(settings_.agent_, rpc::claim_ended, rpc::to_json(message), claim_limit);
    } catch (const http::client_error&) {
        // A claim whose end is not reported reads as in progress, never as not run.
        log_.warn("The agent did not hear how a claim ended.");
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto control_duty::claim_settled(const Json::Value& parameters) -> void
{
    auto message = rpc::read_claim_settled_request(parameters);
    if (message.router_incarnation_ != life_)
        return;
    const auto request = state::request_handle{message.ticket_};
    if (message.verdict_.kind_ == coordination::claims::claim_verdict_kind::finished)
        tell_network(outcome_found{request, message.verdict_.outcome_});
    tell_decision(claim_answered{request, std::move(message.verdict_)});
}

auto control_duty::announce(announce_crash crash) -> awaitable<void>
{
    const auto content = crash.contents_.front();
    const auto message =
        rpc::to_json(rpc::suspects_request{.endpoint_ = crash.endpoint_, .contents_ = crash.contents_});
    log_.warn("Endpoint " + crash.endpoint_.text() + " crashed with content " +
              std::to_string(content.value()) + ".");
    // One more than the messages under way, so that the last answer is not taken for all of them.
    auto waiting = std::make_shared<announcement>(announcement{.content_ = content, .missing_ = 1});
    for (const auto& member : list_.members_) {
        if (member.id_ == settings_.instance_)
            continue;
        ++waiting->missing_;
        http::asio::co_spawn(duty_.context(), announce_to(member.router_, message, waiting),
                             http::asio::detached);
    }
    count_answer(*waiting, false);
    co_return;
}

auto control_duty::clear(state::content_fingerprint content) -> void
{
    const auto message = rpc::to_json(rpc::suspects_request{.contents_ = {content}, .is_cleared_ = true});
    // Nobody waits for the answers; the count only keeps the last one from being taken for all.
    auto waiting = std::make_shared<announcement>(announcement{.content_ = content, .missing_ = SIZE_MAX});
    for (const auto& member : list_.members_) {
        if (member.id_ != settings_.instance_)
            http::asio::co_spawn(duty_.context(), announce_to(member.router_, message, waiting),
                                 http::asio::detached);
    }
}

auto control_duty::announce_to(state::network_address router, Json::Value message,
                               std::shared_ptr<announcement> waiting) -> awaitable<void>
{
    auto is_running = false;
    try {
        const auto result =
            co_await rpc_.call(router, rpc::learn_suspects, std::move(message), announce_limit);
        is_running = result["running"].isBool() && result["running"].asBool();
    } catch (const http::client_error&) {
        // A router that cannot be reached now learns of the crash only by its own.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
    count_answer(*waiting, is_running);
}

auto control_duty::count_answer(announcement& waiting, bool is_running) -> void
{
    waiting.is_running_elsewhere_ = waiting.is_running_elsewhere_ || is_running;
    if (--waiting.missing_ == 0)
        tell_decision(suspects_known{waiting.content_, waiting.is_running_elsewhere_});
}

auto control_duty::tell_decision(control_event event) -> void
{
    verify(decision_->try_push(std::move(event)), state::promise::internal_consistency,
           "the ring to the decision duty must have room");
}

auto control_duty::tell_network(network_notice notice) -> void
{
    verify(network_->try_push(std::move(notice)), state::promise::internal_consistency,
           "the ring to the network duty must have room");
}

} // namespace buckthorndale::services::router

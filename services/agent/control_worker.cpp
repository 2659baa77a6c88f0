#include <utility>

#include "agent/control_worker.hpp"

#include "protocol/codec/claim_codec.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace rpc = protocol::rpc;

namespace {

constexpr auto ring_size = std::size_t{256};
constexpr auto maintenance_interval = std::chrono::milliseconds{20};
constexpr auto router_expiry = state::duration{std::chrono::seconds{10}};

auto empty_result() -> Json::Value
{
    return Json::Value{Json::objectValue};
}

} // namespace

control_worker::control_worker(const agent_settings& settings, state::incarnation incarnation)
    : shared_{worker_.context(), settings, incarnation}, synchroniser_{shared_},
      editor_{shared_, synchroniser_}, claims_{shared_}, ledger_{shared_}, evidence_{shared_},
      roll_outs_{shared_, synchroniser_, editor_}, service_{shared_, synchroniser_, editor_, ledger_},
      server_{worker_.context(),
              {.address_ = settings.control_},
              [this](http::exchange& exchange) { return serve(exchange); }},
      from_administration_{ring_size, worker_.context(), [this](administration_call& call) { process(call); }}
{
    register_methods();
    register_claim_methods();
}

auto control_worker::start() -> void
{
    server_.start();
    synchroniser_.start();
    ledger_.start();
    evidence_.start();
    roll_outs_.start();
    http::asio::co_spawn(worker_.context(), run_maintenance(), http::asio::detached);
    worker_.start();
}

auto control_worker::stop() -> void
{
    worker_.stop();
}

auto control_worker::begin_shutdown() -> void
{
    http::asio::post(worker_.context(), [this] { shared_.is_shutting_down_ = true; });
}

auto control_worker::register_methods() -> void
{
    methods_.add(rpc::hello, [this](const Json::Value& parameters) { return process_hello(parameters); });
    methods_.add(rpc::gossip, [this](const Json::Value& parameters) {
        return rpc::to_json(synchroniser_.answer_gossip(rpc::read_gossip_request(parameters)));
    });
    methods_.add(rpc::learn, [this](const Json::Value& parameters) {
        synchroniser_.apply_updates(rpc::read_updates(parameters));
        return empty_result();
    });
    methods_.add(rpc::add_evidence, [this](const Json::Value& parameters) {
        return rpc::to_json(evidence_.answer_child(rpc::read_add_evidence_request(parameters)));
    });
    methods_.add(rpc::swap_evidence, [this](const Json::Value& parameters) {
        return rpc::to_json(evidence_.answer_root(rpc::read_evidence_report(parameters)));
    });
    methods_.add(rpc::hold_bill, [this](const Json::Value& parameters) {
        return rpc::held_to_json(ledger_.hold(rpc::read_hold_bill_request(parameters)));
    });
    methods_.add(rpc::bills_written, [this](const Json::Value& parameters) {
        ledger_.release(rpc::read_written_ranges(parameters));
        return empty_result();
    });
}

auto control_worker::register_claim_methods() -> void
{
    methods_.add(rpc::claim, [this](const Json::Value& parameters) {
        claims_.request_claim(rpc::read_claim_request(parameters));
        return empty_result();
    });
    methods_.add(rpc::claim_ended, [this](const Json::Value& parameters) {
        claims_.end_claim(rpc::read_claim_ended_request(parameters));
        return empty_result();
    });
    methods_.add(rpc::claim_state, [this](const Json::Value& parameters) {
        return protocol::codec::to_json(claims_.state_of(rpc::read_claim_state_request(parameters)));
    });
}

auto control_worker::serve(http::exchange& exchange) -> http::awaitable<void>
{
    if (exchange.message().target() != rpc::path)
        throw state::error{state::error_kind::not_found, "No resource at this path.", "Use /rpc."};
    co_await exchange.send(
        http::make_response(200, "application/json", methods_.process(exchange.message().body())));
}

auto control_worker::process_hello(const Json::Value& parameters) -> Json::Value
{
    const auto message = rpc::read_hello_request(parameters);
    shared_.routers_[message.router_] = {.address_ = message.router_,
                                         .incarnation_ = message.router_incarnation_,
                                         .last_hello_ = shared_.clock_.now()};
    const auto response = rpc::hello_response{.agent_ = shared_.settings_.instance_,
                                              .agent_incarnation_ = shared_.incarnation_,
                                              .is_confirmed_ = synchroniser_.is_confirmed(),
                                              .updates_ = synchroniser_.updates_for(message.digest_),
                                              .evidence_ = evidence_.add_router_counts(message.evidence_)};
    return rpc::to_json(response);
}

auto control_worker::process(administration_call& call) -> void
{
    http::asio::co_spawn(worker_.context(), answer(std::move(call)), http::asio::detached);
}

auto control_worker::answer(administration_call call) -> http::awaitable<void>
{
    auto reply = co_await service_.answer(std::move(call));
    administration_->try_push(std::move(reply));
}

auto control_worker::run_maintenance() -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{worker_.context()};
    while (true) {
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
        bills_held_.store(ledger_.unsaved_count());
        const auto now = shared_.clock_.now();
        std::erase_if(shared_.routers_,
                      [now](const auto& item) { return now - item.second.last_hello_ > router_expiry; });
    }
}

} // namespace buckthorndale::services::agent

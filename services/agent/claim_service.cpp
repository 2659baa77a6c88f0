#include <utility>

#include "agent/claim_service.hpp"

#include "protocol/codec/claim_codec.hpp"
#include "protocol/json/text.hpp"
#include "protocol/platform/object_names.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace claims = coordination::claims;
namespace names = protocol::platform;
namespace rpc = protocol::rpc;

namespace {

constexpr auto peer_timeout = state::duration{std::chrono::milliseconds{500}};

auto to_write_result(transport::platform::put_result result) -> claims::write_result
{
    switch (result) {
    case transport::platform::put_result::written:
        return claims::write_result::written;
    case transport::platform::put_result::refused:
        return claims::write_result::refused;
    case transport::platform::put_result::uncertain:
        return claims::write_result::uncertain;
    }
    return claims::write_result::uncertain;
}

auto claim_to_text(const state::claim_record& record) -> std::string
{
    return protocol::json::to_text(protocol::codec::to_json(record));
}

auto claim_from_text(const std::string& text) -> state::claim_record
{
    const auto value = protocol::json::parse(text, state::error_kind::platform_unavailable);
    return protocol::codec::read_claim_record({value, "", state::error_kind::platform_unavailable});
}

} // namespace

claim_service::claim_service(agent_state& shared)
    : shared_{shared}, port_{*this}, manager_{port_, shared.random_, shared.settings_.instance_,
                                              shared.incarnation_, shared.settings_.control_}
{}

auto claim_service::request_claim(const rpc::claim_request& message) -> void
{
    const auto router = find_router(message.router_incarnation_);
    if (!router)
        throw state::error{state::error_kind::invalid_request, "The router is unknown to this agent.",
                           "Send hello first."};
    last_ticket_ = last_ticket_.next();
    pending_claims_[last_ticket_] = {
        .address_ = *router, .incarnation_ = message.router_incarnation_, .ticket_ = message.ticket_};
    manager_.request(last_ticket_, message.key_, message.content_);
}

auto claim_service::end_claim(const rpc::claim_ended_request& message) -> void
{
    switch (message.end_) {
    case rpc::claim_end::finished:
        manager_.finish(message.key_, message.nonce_, message.outcome_);
        return;
    case rpc::claim_end::abandoned:
        manager_.abandon(message.key_, message.nonce_);
        return;
    case rpc::claim_end::lost:
        manager_.mark_lost(message.key_, message.nonce_);
        return;
    }
}

auto claim_service::state_of(const rpc::claim_state_request& message) const -> claims::claimant_reply
{
    return manager_.state_of(message.key_, message.incarnation_, message.nonce_);
}

auto claim_service::create_claim(ticket_type ticket, const state::claim_record& record) -> void
{
    spawn(create(ticket, record));
}

auto claim_service::replace_claim(ticket_type ticket, const claims::stored_claim& stored,
                                  const state::claim_record& record) -> void
{
    spawn(replace(ticket, stored, record));
}

auto claim_service::read_claim(ticket_type ticket, const state::claim_record& record) -> void
{
    spawn(read(ticket, record));
}

auto claim_service::ask_claimant(ticket_type ticket, const claims::stored_claim& stored) -> void
{
    spawn(query_claimant(ticket, stored));
}

auto claim_service::settle(ticket_type ticket, const claims::claim_verdict& verdict) -> void
{
    const auto found = pending_claims_.find(ticket);
    if (found == pending_claims_.end())
        return;
    log_.info("Claim of workspace " + verdict.key_.workspace_.text() + " is " +
              claims::to_string(verdict.kind_) + ".");
    spawn(send_verdict(found->second, verdict));
    pending_claims_.erase(found);
}

auto claim_service::create(ticket_type ticket, state::claim_record record) -> http::awaitable<void>
{
    const auto result =
        co_await shared_.platform_.create(names::claim_name(record.key_), claim_to_text(record));
    manager_.written(ticket, to_write_result(result));
}

auto claim_service::replace(ticket_type ticket, claims::stored_claim stored, state::claim_record record)
    -> http::awaitable<void>
{
    const auto result = co_await shared_.platform_.replace(names::claim_name(record.key_), stored.tag_,
                                                           claim_to_text(record));
    manager_.written(ticket, to_write_result(result));
}

auto claim_service::read(ticket_type ticket, state::claim_record record) -> http::awaitable<void>
{
    const auto result = co_await shared_.platform_.read(names::claim_name(record.key_));
    auto reading = claims::claim_read_result{.is_available_ = result.is_available_};
    try {
        if (result.object_)
            reading.claim_ = claims::stored_claim{.record_ = claim_from_text(result.object_->value_),
                                                  .tag_ = result.object_->tag_};
    } catch (const state::error& fault) {
        // An unreadable claim still exists, so the call must not run.
        log_.error(std::string{"Cannot parse a claim. "} + fault.what());
        reading.is_available_ = false;
    }
    manager_.was_read(ticket, reading);
}

auto claim_service::query_claimant(ticket_type ticket, claims::stored_claim stored) -> http::awaitable<void>
{
    const auto& record = stored.record_;
    const auto message = rpc::claim_state_request{
        .key_ = record.key_, .incarnation_ = record.claimant_incarnation_, .nonce_ = record.nonce_};
    auto statement = claims::claimant_reply{};
    try {
        const auto result = co_await shared_.rpc_.call(record.claimant_address_, rpc::claim_state,
                                                       rpc::to_json(message), peer_timeout);
        statement =
            protocol::codec::read_claimant_statement({result, "", state::error_kind::invalid_request});
    } catch (const http::client_error&) {
        statement = {};
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
    manager_.claimant_answered(ticket, statement);
}

auto claim_service::send_verdict(pending_claim router, claims::claim_verdict verdict) -> http::awaitable<void>
{
    const auto message = rpc::claim_settled_request{
        .router_incarnation_ = router.incarnation_, .ticket_ = router.ticket_, .verdict_ = verdict};
    auto is_delivered = false;
    try {
        co_await shared_.rpc_.call(router.address_, rpc::claim_settled, rpc::to_json(message), peer_timeout);
        is_delivered = true;
    } catch (const http::client_error&) {
        log_.warn("Could not deliver a claim verdict to its router.");
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
    // The router may have received the verdict although its response was lost, so the claim is marked lost
    // and not abandoned.
    if (!is_delivered && verdict.kind_ == claims::claim_verdict_kind::granted)
        manager_.mark_lost(verdict.key_, verdict.nonce_);
}

auto claim_service::find_router(state::incarnation incarnation) const -> std::optional<state::network_address>
{
    for (const auto& [address, router] : shared_.routers_) {
        if (router.incarnation_ == incarnation)
            return address;
    }
    return std::nullopt;
}

auto claim_service::spawn(http::awaitable<void> work) -> void
{
    http::asio::co_spawn(shared_.context_, std::move(work), http::asio::detached);
}

} // namespace buckthorndale::services::agent

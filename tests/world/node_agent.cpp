#include "world/node_agent.hpp"

#include "world/world_node.hpp"

namespace buckthorndale::tests::world {

using coordination::claims::claim_ticket;
using coordination::claims::claim_verdict;
using coordination::claims::claimant_reply;
using coordination::claims::stored_claim;
using coordination::claims::write_result;

namespace {

auto write_result_of(std::optional<bool> reply) -> write_result
{
    if (!reply)
        return write_result::uncertain;
    return *reply ? write_result::written : write_result::refused;
}

} // namespace

node_agent::node_agent(environment& shared, world_node& node, state::incarnation life)
    : shared_{shared}, node_{node}, life_{life}, port_{*this}, book_{node.id(), life},
      keeper_{port_, shared.random_, node.id(), life, {.host_ = node.id().text(), .port_ = 1}}
{
    observe_clock();
}

auto node_agent::catch_up() -> void
{
    observe_clock();
    const auto known = replica_.current()->generation_;
    node_.call_platform<std::vector<state::configuration_change>>(
        [&shared = shared_, known] { return shared.platform_.changes_after(known); },
        [this, asked_at = shared_.time_.now()](const auto& reply) {
            observe_clock();
            if (!reply)
                return;
            for (const auto& change : *reply)
                replica_.offer_change(change);
            freshness_.mark_synchronised(asked_at);
        });
}

auto node_agent::gossip_with(node_agent& peer) -> void
{
    observe_clock();
    const auto give = [](node_agent& from, node_agent& to) {
        for (const auto& change : from.replica_.changes_after(to.replica_.current()->generation_))
            to.replica_.offer_change(change);
    };
    give(*this, peer);
    give(peer, *this);
    // A peer that is itself stale cannot tell whether its configuration is the newest.
    if (peer.is_confirmed())
        freshness_.mark_synchronised(shared_.time_.now());
}

auto node_agent::hold(const state::bill_record& record, bool is_primary) -> bool
{
    using coordination::billing::holder_role;
    const auto is_held =
        book_.try_add(record, is_primary ? holder_role::primary : holder_role::backup, shared_.clock_.now());
    if (is_held)
        shared_.bill_holders_[record.key_].insert(node_.id());
    return is_held;
}

auto node_agent::write_bills() -> void
{
    if (is_writing_)
        return;
    if (!book_.open_segment() && !book_.try_seal(shared_.clock_.now(), is_shutting_down_))
        return;
    is_writing_ = true;
    const auto segment = *book_.open_segment();
    node_.call_platform<bool>(
        [&shared = shared_, segment] { return shared.platform_.create_segment(segment); },
        [this](std::optional<bool> reply) {
            is_writing_ = false;
            if (!reply)
                return;
            node_.tell_backups(coordination::billing::to_ranges(book_.mark_written()));
        });
}

auto node_agent::claim(const state::claim_key& key, state::content_fingerprint content, claim_callback done)
    -> void
{
    last_ticket_ = last_ticket_.next();
    waiting_.emplace(last_ticket_, std::move(done));
    keeper_.request(last_ticket_, key, content);
}

auto node_agent::is_confirmed() -> bool
{
    observe_clock();
    return replica_.is_known() && freshness_.may_confirm(shared_.clock_.now());
}

auto node_agent::create_claim(claim_ticket ticket, const state::claim_record& record) -> void
{
    node_.call_platform<bool>(
        [&shared = shared_, record] { return shared.platform_.create_claim(record); },
        [this, ticket](std::optional<bool> reply) { keeper_.written(ticket, write_result_of(reply)); });
}

auto node_agent::replace_claim(claim_ticket ticket, const stored_claim& stored,
                               const state::claim_record& record) -> void
{
    node_.call_platform<bool>(
        [&shared = shared_, stored, record] { return shared.platform_.replace_claim(stored.tag_, record); },
        [this, ticket](std::optional<bool> reply) { keeper_.written(ticket, write_result_of(reply)); });
}

auto node_agent::read_claim(claim_ticket ticket, const state::claim_record& record) -> void
{
    node_.call_platform<std::optional<stored_claim>>(
        [&shared = shared_, record] { return shared.platform_.read_claim(record.key_); },
        [this, ticket](const auto& reply) {
            keeper_.was_read(ticket,
                             {.is_available_ = reply.has_value(), .claim_ = reply ? *reply : std::nullopt});
        });
}

auto node_agent::ask_claimant(claim_ticket ticket, const stored_claim& stored) -> void
{
    shared_.exercised_.count("claimant-asked");
    node_.ask_other_agent<claimant_reply>(
        state::instance_id{stored.record_.claimant_address_.host_},
        [stored](node_agent& other) {
            return other.keeper_.state_of(stored.record_.key_, stored.record_.claimant_incarnation_,
                                          stored.record_.nonce_);
        },
        [this, ticket](const auto& reply) {
            keeper_.claimant_answered(ticket, reply.value_or(claimant_reply{}));
        });
}

auto node_agent::settle(claim_ticket ticket, const claim_verdict& verdict) -> void
{
    shared_.exercised_.count("claim-" + coordination::claims::to_string(verdict.kind_));
    const auto done = waiting_.extract(ticket);
    if (!done.empty())
        done.mapped()(verdict);
}

} // namespace buckthorndale::tests::world

#include "world/simulated_agent.hpp"

#include "world/simulated_instance.hpp"

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

simulated_agent::simulated_agent(simulation_context& context, simulated_instance& instance,
                                 state::incarnation incarnation)
    : context_{context}, instance_{instance}, incarnation_{incarnation}, port_{*this},
      held_bills_{instance.id(), incarnation},
      keeper_{port_, context.random_, instance.id(), incarnation, {.host_ = instance.id().text(), .port_ = 1}}
{
    observe_clock();
}

auto simulated_agent::catch_up() -> void
{
    observe_clock();
    const auto known = replica_.current()->generation_;
    instance_.call_platform<std::vector<state::configuration_change>>(
        [&context = context_, known] { return context.platform_.changes_after(known); },
        [this, asked_at = context_.time_.now()](const auto& reply) {
            observe_clock();
            if (!reply)
                return;
            for (const auto& change : *reply)
                replica_.offer_change(change);
            freshness_.mark_synchronised(asked_at);
        });
}

auto simulated_agent::gossip_with(simulated_agent& peer) -> void
{
    observe_clock();
    const auto copy_changes = [](simulated_agent& from, simulated_agent& to) {
        for (const auto& change : from.replica_.changes_after(to.replica_.current()->generation_))
            to.replica_.offer_change(change);
    };
    copy_changes(*this, peer);
    copy_changes(peer, *this);
    // A peer without fresh confirmation cannot tell whether its configuration is the newest.
    if (peer.is_confirmed())
        freshness_.mark_synchronised(context_.time_.now());
}

auto simulated_agent::hold(const state::bill_record& record, bool is_primary) -> bool
{
    using coordination::billing::holder_role;
    const auto is_held = held_bills_.try_add(record, is_primary ? holder_role::primary : holder_role::backup,
                                             context_.clock_.now());
    if (is_held)
        context_.bill_holders_[record.key_].insert(instance_.id());
    return is_held;
}

auto simulated_agent::write_bills() -> void
{
    if (is_writing_)
        return;
    if (!held_bills_.open_segment() && !held_bills_.try_seal(context_.clock_.now(), is_shutting_down_))
        return;
    is_writing_ = true;
    const auto segment = *held_bills_.open_segment();
    instance_.call_platform<bool>(
        [&context = context_, segment] { return context.platform_.create_segment(segment); },
        [this](std::optional<bool> reply) {
            is_writing_ = false;
            if (!reply)
                return;
            instance_.notify_backups(coordination::billing::to_ranges(held_bills_.mark_written()));
        });
}

auto simulated_agent::claim(const state::claim_key& key, state::content_fingerprint content,
                            claim_callback done) -> void
{
    last_ticket_ = last_ticket_.next();
    waiting_.emplace(last_ticket_, std::move(done));
    keeper_.request(last_ticket_, key, content);
}

auto simulated_agent::is_confirmed() -> bool
{
    observe_clock();
    return replica_.is_known() && freshness_.may_confirm(context_.clock_.now());
}

auto simulated_agent::create_claim(claim_ticket ticket, const state::claim_record& record) -> void
{
    instance_.call_platform<bool>(
        [&context = context_, record] { return context.platform_.create_claim(record); },
        [this, ticket](std::optional<bool> reply) { keeper_.written(ticket, write_result_of(reply)); });
}

auto simulated_agent::replace_claim(claim_ticket ticket, const stored_claim& stored,
                                    const state::claim_record& record) -> void
{
    instance_.call_platform<bool>(
        [&context = context_, stored, record] {
            return context.platform_.replace_claim(stored.tag_, record);
        },
        [this, ticket](std::optional<bool> reply) { keeper_.written(ticket, write_result_of(reply)); });
}

auto simulated_agent::read_claim(claim_ticket ticket, const state::claim_record& record) -> void
{
    instance_.call_platform<std::optional<stored_claim>>(
        [&context = context_, record] { return context.platform_.read_claim(record.key_); },
        [this, ticket](const auto& reply) {
            keeper_.was_read(ticket,
                             {.is_available_ = reply.has_value(), .claim_ = reply ? *reply : std::nullopt});
        });
}

auto simulated_agent::ask_claimant(claim_ticket ticket, const stored_claim& stored) -> void
{
    context_.coverage_.count("claimant-asked");
    instance_.query_agent<claimant_reply>(
        state::instance_id{stored.record_.claimant_address_.host_},
        [stored](simulated_agent& other) {
            return other.keeper_.state_of(stored.record_.key_, stored.record_.claimant_incarnation_,
                                          stored.record_.nonce_);
        },
        [this, ticket](const auto& reply) {
            keeper_.claimant_answered(ticket, reply.value_or(claimant_reply{}));
        });
}

auto simulated_agent::settle(claim_ticket ticket, const claim_verdict& verdict) -> void
{
    context_.coverage_.count("claim-" + coordination::claims::to_string(verdict.kind_));
    const auto done = waiting_.extract(ticket);
    if (!done.empty())
        done.mapped()(verdict);
}

} // namespace buckthorndale::tests::world

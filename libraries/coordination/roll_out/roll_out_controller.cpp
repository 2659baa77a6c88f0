#include "coordination/roll_out/roll_out_controller.hpp"

#include "coordination/roll_out/roll_out_step.hpp"
#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthorndale::coordination::roll_out {

namespace {

/// The first instances wait for one another this long, which covers a write to a slow platform.
constexpr auto long_turn = state::duration{std::chrono::seconds{3}};
constexpr auto short_turn = state::duration{std::chrono::milliseconds{100}};
constexpr auto long_turns = std::ptrdiff_t{8};

auto is_same_roll_out(const state::roll_out& left, const state::roll_out& right) -> bool
{
    return left.from_ == right.from_ && left.to_ == right.to_;
}

auto is_controlled(const state::roll_out& roll_out) -> bool
{
    return roll_out.is_automatic_ && roll_out.state_ == state::roll_out_state::running;
}

/// Whether the new version turned bad after the roll-out was complete.
auto is_complete_and_bad(const state::roll_out& roll_out, const version_guard& guard) -> bool
{
    return roll_out.is_automatic_ && roll_out.state_ == state::roll_out_state::complete &&
           guard.has_turned_bad(roll_out.to_key());
}

auto since(const evidence& now, const evidence& before) -> evidence
{
    return {.good_ = now.good_ - before.good_, .bad_ = now.bad_ - before.bad_};
}

} // namespace

auto roll_out_controller::decide(const state::configuration& configuration, version_guard& guard,
                                 const std::vector<state::member>& members, state::time_point now)
    -> std::vector<roll_out_proposal>
{
    std::erase_if(watches_,
                  [&](const auto& item) { return configuration.find_roll_out(item.first) == nullptr; });
    auto proposals = std::vector<roll_out_proposal>{};
    for (const auto& [model, roll_out] : configuration.roll_outs_) {
        auto& known = observe(roll_out, guard, now);
        const auto settings = settings_for(emphasis_of(configuration, roll_out));
        want(known, wanted_state(known, guard, settings, now), now);
        if (!known.wanted_ || !is_turn(known, members, now))
            continue;
        proposals.push_back(propose(configuration.generation_, known));
        // The platform may not answer; the next try is as far away as the first was.
        known.wanted_since_ = now;
    }
    return proposals;
}

auto roll_out_controller::observe(const state::roll_out& roll_out, version_guard& guard,
                                  state::time_point now) -> watch&
{
    const auto found = watches_.find(roll_out.model_);
    if (found == watches_.end())
        return watches_.emplace(roll_out.model_, begin_watch(roll_out, guard, now)).first->second;
    auto& known = found->second;
    if (known.seen_ == roll_out)
        return known;
    // The evidence of earlier steps keeps its weight, unless the operators gave the version another chance.
    if (known.seen_.state_ == state::roll_out_state::halted)
        guard.lift(roll_out.to_key());
    const auto was_halted = known.seen_.state_ == state::roll_out_state::halted;
    const auto goes_on = is_same_roll_out(known.seen_, roll_out) && !was_halted;
    const auto at_start = known.at_start_;
    known = begin_watch(roll_out, guard, now);
    if (goes_on)
        known.at_start_ = at_start;
    return known;
}

auto roll_out_controller::want(watch& known, std::optional<state::roll_out> wanted, state::time_point now)
    -> void
{
    if (wanted == known.wanted_)
        return;
    known.wanted_ = std::move(wanted);
    known.wanted_since_ = now;
}

auto roll_out_controller::propose(state::generation based_on, const watch& known) -> roll_out_proposal
{
    const auto& wanted = *known.wanted_;
    const auto is_halt = wanted.state_ == state::roll_out_state::halted;
    verify(is_halt || wanted.share_ >= known.seen_.share_, state::guarantee::configuration_moves_forward,
           "a step must not make the share smaller unless it halts");
    return {.based_on_ = based_on,
            .content_ = wanted,
            .reason_ = is_halt ? "worse than the version it replaces, or than it was"
                               : "no worse than the version it replaces"};
}

auto roll_out_controller::counts_of(const state::roll_out& roll_out, const version_guard& guard)
    -> evidence_pair
{
    return {.from_ = guard.total(roll_out.from_key()), .to_ = guard.total(roll_out.to_key())};
}

auto roll_out_controller::begin_watch(const state::roll_out& roll_out, const version_guard& guard,
                                      state::time_point now) -> watch
{
    const auto counts = counts_of(roll_out, guard);
    return {.seen_ = roll_out,
            .step_began_ = now,
            .at_start_ = counts,
            .to_at_step_ = counts.to_,
            .wanted_ = std::nullopt,
            .wanted_since_ = now};
}

auto roll_out_controller::wanted_state(const watch& known, const version_guard& guard,
                                       const test_settings& settings, state::time_point now)
    -> std::optional<state::roll_out>
{
    const auto& roll_out = known.seen_;
    if (is_complete_and_bad(roll_out, guard))
        return halted(roll_out);
    if (!is_controlled(roll_out))
        return std::nullopt;
    // Both versions are compared over the same time, so that a bad hour of both halts nothing. All of it
    // speaks for the old version, of which little may be left to count in a late step.
    const auto counts = counts_of(roll_out, guard);
    const auto base = since(counts.from_, known.at_start_.from_);
    const auto verdict_since = [&](const evidence& before) {
        return judge(base, since(counts.to_, before), settings);
    };
    const auto in_step = verdict_since(known.to_at_step_);
    if (in_step == test_verdict::worse || verdict_since(known.at_start_.to_) == test_verdict::worse)
        return halted(roll_out);
    // The smallest share is reached without evidence: there is none before the version serves anybody.
    const auto is_first = roll_out.share_ == state::permille{};
    const auto is_long_enough = now - known.step_began_ >= roll_out.min_step_duration_;
    if (is_first || (in_step == test_verdict::no_worse && is_long_enough))
        return next_step(roll_out);
    return std::nullopt;
}

auto roll_out_controller::is_turn(const watch& known, const std::vector<state::member>& members,
                                  state::time_point now) const -> bool
{
    return now - known.wanted_since_ >= turn_delay(self_, known.seen_.model_, members);
}

auto emphasis_of(const state::configuration& configuration, const state::roll_out& roll_out)
    -> state::roll_out_emphasis
{
    for (const auto& [name, profile] : configuration.profiles_) {
        const auto is_concerned = profile.lists(roll_out.to_key()) || profile.lists(roll_out.from_key());
        if (is_concerned && profile.emphasis_ == state::roll_out_emphasis::exposure)
            return state::roll_out_emphasis::exposure;
    }
    return state::roll_out_emphasis::latency;
}

auto turn_delay(const state::instance_id& self, const state::model_name& model,
                const std::vector<state::member>& members) -> state::duration
{
    const auto seed = state::stable_hash(model.text());
    const auto rank_of = [seed](const state::instance_id& id) {
        return std::tuple{state::stable_hash(id.text(), seed), id.text()};
    };
    const auto own = rank_of(self);
    const auto turn = std::ranges::count_if(members, [&](const state::member& member) {
        const auto is_live = member.state_ == state::instance_state::live;
        return is_live && member.id_ != self && rank_of(member.id_) < own;
    });
    return std::min(turn, long_turns) * long_turn +
           std::max(turn - long_turns, std::ptrdiff_t{0}) * short_turn;
}

} // namespace buckthorndale::coordination::roll_out

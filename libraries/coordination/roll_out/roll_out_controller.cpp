#include "coordination/roll_out/roll_out_controller.hpp"

#include "coordination/roll_out/roll_out_step.hpp"
#include "state/invariant.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace buckthorndale::coordination::roll_out {

namespace {

/// The delay between the first turns is long enough for a write to a slow platform.
constexpr auto long_turn_delay = state::duration{std::chrono::seconds{3}};
constexpr auto short_turn_delay = state::duration{std::chrono::milliseconds{100}};
constexpr auto long_turn_count = std::ptrdiff_t{8};

auto is_same_roll_out(const state::roll_out& left, const state::roll_out& right) -> bool
{
    return left.from_ == right.from_ && left.to_ == right.to_;
}

auto is_controlled(const state::roll_out& roll_out) -> bool
{
    return roll_out.is_automatic_ && roll_out.state_ == state::roll_out_state::running;
}

/// Whether the new version degraded after the roll-out was complete.
auto has_degraded_after_completion(const state::roll_out& roll_out, const version_guard& guard) -> bool
{
    return roll_out.is_automatic_ && roll_out.state_ == state::roll_out_state::complete &&
           guard.is_degraded(roll_out.to_key());
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
    std::erase_if(tracked_,
                  [&](const auto& item) { return configuration.find_roll_out(item.first) == nullptr; });
    auto proposals = std::vector<roll_out_proposal>{};
    for (const auto& [model, roll_out] : configuration.roll_outs_) {
        auto& tracked = observe(roll_out, guard, now);
        const auto settings = settings_for(emphasis_of(configuration, roll_out));
        update_desired(tracked, desired_state(tracked, guard, settings, now), now);
        if (!tracked.desired_ || !is_own_turn(tracked, members, now))
            continue;
        proposals.push_back(propose(configuration.generation_, tracked));
        // The platform may not answer; the proposal is repeated after the same turn delay.
        tracked.desired_since_ = now;
    }
    return proposals;
}

auto roll_out_controller::observe(const state::roll_out& roll_out, version_guard& guard,
                                  state::time_point now) -> tracked_roll_out&
{
    const auto found = tracked_.find(roll_out.model_);
    if (found == tracked_.end())
        return tracked_.emplace(roll_out.model_, begin_tracking(roll_out, guard, now)).first->second;
    auto& tracked = found->second;
    if (tracked.last_seen_ == roll_out)
        return tracked;
    // Evidence of earlier steps still counts unless the operators resumed a halted roll-out.
    if (tracked.last_seen_.state_ == state::roll_out_state::halted)
        guard.lift_halt(roll_out.to_key());
    const auto was_halted = tracked.last_seen_.state_ == state::roll_out_state::halted;
    const auto is_continuation = is_same_roll_out(tracked.last_seen_, roll_out) && !was_halted;
    const auto at_start = tracked.at_start_;
    tracked = begin_tracking(roll_out, guard, now);
    if (is_continuation)
        tracked.at_start_ = at_start;
    return tracked;
}

auto roll_out_controller::update_desired(tracked_roll_out& tracked, std::optional<state::roll_out> desired,
                                         state::time_point now) -> void
{
    if (desired == tracked.desired_)
        return;
    tracked.desired_ = std::move(desired);
    tracked.desired_since_ = now;
}

auto roll_out_controller::propose(state::generation based_on, const tracked_roll_out& tracked)
    -> roll_out_proposal
{
    const auto& desired = *tracked.desired_;
    const auto is_halt = desired.state_ == state::roll_out_state::halted;
    verify(is_halt || desired.share_ >= tracked.last_seen_.share_,
           state::guarantee::configuration_moves_forward,
           "a roll-out step may reduce the share only when it halts the roll-out");
    return {.based_on_ = based_on,
            .content_ = desired,
            .reason_ = is_halt ? "worse than the version it replaces, or than it was"
                               : "no worse than the version it replaces"};
}

auto roll_out_controller::counts_of(const state::roll_out& roll_out, const version_guard& guard)
    -> evidence_pair
{
    return {.from_ = guard.total(roll_out.from_key()), .to_ = guard.total(roll_out.to_key())};
}

auto roll_out_controller::begin_tracking(const state::roll_out& roll_out, const version_guard& guard,
                                         state::time_point now) -> tracked_roll_out
{
    const auto counts = counts_of(roll_out, guard);
    return {.last_seen_ = roll_out,
            .step_began_ = now,
            .at_start_ = counts,
            .to_at_step_ = counts.to_,
            .desired_ = std::nullopt,
            .desired_since_ = now};
}

auto roll_out_controller::desired_state(const tracked_roll_out& tracked, const version_guard& guard,
                                        const sequential_test_settings& settings, state::time_point now)
    -> std::optional<state::roll_out>
{
    const auto& roll_out = tracked.last_seen_;
    if (has_degraded_after_completion(roll_out, guard))
        return halted(roll_out);
    if (!is_controlled(roll_out))
        return std::nullopt;
    // Both versions are compared over the same period, so that a disturbance of both halts nothing. The old
    // version is counted over the whole roll-out, since it may get little traffic in late steps.
    const auto counts = counts_of(roll_out, guard);
    const auto base = since(counts.from_, tracked.at_start_.from_);
    const auto verdict_since = [&](const evidence& before) {
        return judge(base, since(counts.to_, before), settings);
    };
    const auto in_step = verdict_since(tracked.to_at_step_);
    if (in_step == sequential_test_verdict::worse ||
        verdict_since(tracked.at_start_.to_) == sequential_test_verdict::worse)
        return halted(roll_out);
    // The first step needs no evidence: there is none before the version gets traffic.
    const auto is_first = roll_out.share_ == state::permille{};
    const auto is_long_enough = now - tracked.step_began_ >= roll_out.min_step_duration_;
    if (is_first || (in_step == sequential_test_verdict::no_worse && is_long_enough))
        return next_step(roll_out);
    return std::nullopt;
}

auto roll_out_controller::is_own_turn(const tracked_roll_out& tracked,
                                      const std::vector<state::member>& members, state::time_point now) const
    -> bool
{
    return now - tracked.desired_since_ >= turn_delay(self_, tracked.last_seen_.model_, members);
}

auto emphasis_of(const state::configuration& configuration, const state::roll_out& roll_out)
    -> state::roll_out_emphasis
{
    for (const auto& [name, profile] : configuration.profiles_) {
        const auto lists_either_version =
            profile.lists(roll_out.to_key()) || profile.lists(roll_out.from_key());
        if (lists_either_version && profile.emphasis_ == state::roll_out_emphasis::exposure)
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
    return std::min(turn, long_turn_count) * long_turn_delay +
           std::max(turn - long_turn_count, std::ptrdiff_t{0}) * short_turn_delay;
}

} // namespace buckthorndale::coordination::roll_out

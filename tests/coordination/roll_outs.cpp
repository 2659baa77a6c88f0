#include "coordination/configuration/apply_change.hpp"
#include "coordination/configuration/change_conflict.hpp"
#include "coordination/roll_out/roll_out_controller.hpp"
#include "coordination/roll_out/roll_out_step.hpp"
#include "state/error.hpp"
#include "world/roll_out_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
using coordination::roll_out::roll_out_controller;
using coordination::roll_out::version_guard;

const auto now = state::time_point{1h};

auto roll_out_at(int share) -> state::roll_out
{
    return {.model_ = state::model_name{"small"},
            .from_ = state::version_name{"1"},
            .to_ = state::version_name{"2"},
            .share_ = state::permille{share},
            .is_automatic_ = true,
            .min_step_duration_ = 10s};
}

auto configuration_with(const state::roll_out& roll_out) -> state::configuration
{
    auto configuration = state::configuration{};
    configuration.generation_ = state::generation{7};
    configuration.roll_outs_[roll_out.model_] = roll_out;
    return configuration;
}

auto record(version_guard& guard, const state::version_key& version, int good, int bad) -> void
{
    for (auto answer = 0; answer < good + bad; ++answer)
        guard.record(version, answer < good);
}

/// Checks that each accepted state follows from the previous one by a single step or by a halt.
auto check_steps(const std::vector<state::roll_out>& accepted, std::uint64_t seed) -> void
{
    for (auto index = std::size_t{1}; index < accepted.size(); ++index) {
        const auto& before = accepted[index - 1];
        const auto is_step = accepted[index] == coordination::roll_out::next_step(before);
        const auto is_halt = accepted[index] == coordination::roll_out::halted(before);
        BOOST_CHECK_MESSAGE(is_step || is_halt,
                            "seed " << seed << ": step " << index << " was skipped or applied twice");
        BOOST_CHECK_MESSAGE(before.state_ == state::roll_out_state::running,
                            "seed " << seed << ": a step was accepted after the roll-out had ended");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(roll_outs)

BOOST_AUTO_TEST_CASE(step_waits_for_evidence_and_time)
{
    const auto configuration = configuration_with(roll_out_at(10));
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    BOOST_CHECK(controller.decide(configuration, guard, {}, now).empty());
    record(guard, roll_out_at(10).from_key(), 950, 50);
    BOOST_CHECK(controller.decide(configuration, guard, {}, now + 11s).empty());
    record(guard, roll_out_at(10).to_key(), 190, 10);
    BOOST_CHECK(controller.decide(configuration, guard, {}, now + 9s).empty());
    const auto proposals = controller.decide(configuration, guard, {}, now + 12s);
    BOOST_REQUIRE_EQUAL(proposals.size(), 1U);
    BOOST_CHECK(proposals.front().content_ == roll_out_at(50));
    BOOST_CHECK(proposals.front().based_on_ == configuration.generation_);
}

BOOST_AUTO_TEST_CASE(worse_version_is_halted_at_once)
{
    const auto configuration = configuration_with(roll_out_at(10));
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    controller.decide(configuration, guard, {}, now);
    record(guard, roll_out_at(10).from_key(), 950, 50);
    record(guard, roll_out_at(10).to_key(), 0, 30);
    const auto proposals = controller.decide(configuration, guard, {}, now + 1s);
    BOOST_REQUIRE_EQUAL(proposals.size(), 1U);
    BOOST_CHECK(proposals.front().content_.state_ == state::roll_out_state::halted);
    BOOST_CHECK(proposals.front().content_.share_ == state::permille{});
}

BOOST_AUTO_TEST_CASE(only_running_automatic_roll_outs_are_advanced)
{
    auto roll_out = roll_out_at(0);
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    roll_out.is_automatic_ = false;
    BOOST_CHECK(controller.decide(configuration_with(roll_out), guard, {}, now).empty());
    roll_out.is_automatic_ = true;
    roll_out.state_ = state::roll_out_state::paused;
    BOOST_CHECK(controller.decide(configuration_with(roll_out), guard, {}, now + 1s).empty());
    roll_out.state_ = state::roll_out_state::running;
    BOOST_CHECK_EQUAL(controller.decide(configuration_with(roll_out), guard, {}, now + 2s).size(), 1U);
}

BOOST_AUTO_TEST_CASE(whole_share_is_completed)
{
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    const auto configuration = configuration_with(roll_out_at(1000));
    controller.decide(configuration, guard, {}, now);
    record(guard, roll_out_at(1000).to_key(), 300, 0);
    const auto proposals = controller.decide(configuration, guard, {}, now + 11s);
    BOOST_REQUIRE_EQUAL(proposals.size(), 1U);
    BOOST_CHECK(proposals.front().content_.state_ == state::roll_out_state::complete);
}

BOOST_AUTO_TEST_CASE(resumed_roll_out_is_judged_on_new_evidence)
{
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    const auto version = roll_out_at(10).to_key();
    controller.decide(configuration_with(roll_out_at(10)), guard, {}, now);
    record(guard, version, 0, 100);
    controller.decide(configuration_with(coordination::roll_out::halted(roll_out_at(10))), guard, {},
                      now + 1s);
    controller.decide(configuration_with(roll_out_at(10)), guard, {}, now + 2s);
    BOOST_CHECK(controller.decide(configuration_with(roll_out_at(10)), guard, {}, now + 20s).empty());
    record(guard, version, 0, 40);
    const auto proposals = controller.decide(configuration_with(roll_out_at(10)), guard, {}, now + 21s);
    BOOST_REQUIRE_EQUAL(proposals.size(), 1U);
    BOOST_CHECK(proposals.front().content_.state_ == state::roll_out_state::halted);
}

BOOST_AUTO_TEST_CASE(instances_take_turns)
{
    auto members = std::vector<state::member>{};
    for (auto index = 0; index < 360; ++index)
        members.push_back({.id_ = state::instance_id{"entry-" + std::to_string(index)}});
    auto delays = std::multiset<state::duration>{};
    for (const auto& member : members)
        delays.insert(coordination::roll_out::turn_delay(member.id_, state::model_name{"small"}, members));
    BOOST_CHECK(*delays.begin() == state::duration{0});
    BOOST_CHECK_EQUAL(delays.count(state::duration{0}), 1U);
    BOOST_CHECK(*delays.rbegin() <= 61s);
}

BOOST_AUTO_TEST_CASE(decision_made_before_a_freeze_is_rejected)
{
    auto known = coordination::configuration::replica{};
    auto make = [&known](state::change_content content) {
        const auto before = known.current();
        known.offer_change({.generation_ = before->generation_.next(),
                            .id_ = state::change_id{std::to_string(before->generation_.value())},
                            .author_ = "entry-1",
                            .previous_chain_ = before->chain_,
                            .content_ = std::move(content)});
    };
    make(state::version_settings{.key_ = roll_out_at(0).from_key()});
    make(state::version_settings{.key_ = roll_out_at(0).to_key()});
    make(roll_out_at(10));
    const auto based_on = known.current()->generation_;
    make(state::version_settings{.key_ = state::version_key_from_text("other@1")});
    BOOST_CHECK_NO_THROW(coordination::configuration::check_conflict(known, based_on, roll_out_at(50)));
    make(coordination::roll_out::halted(roll_out_at(10)));
    BOOST_CHECK_THROW(coordination::configuration::check_conflict(known, based_on, roll_out_at(50)),
                      state::error);
}

BOOST_AUTO_TEST_CASE(version_that_turns_bad_in_service_is_rolled_back)
{
    auto roll_out = roll_out_at(1000);
    roll_out.state_ = state::roll_out_state::complete;
    const auto configuration = configuration_with(roll_out);
    auto guard = version_guard{};
    auto controller = roll_out_controller{state::instance_id{"a"}};
    // A long good history must not delay the halt.
    for (auto round = 0; round < 200; ++round)
        record(guard, roll_out.to_key(), 95, 5);
    BOOST_CHECK(!guard.is_degraded(roll_out.to_key()));
    BOOST_CHECK(controller.decide(configuration, guard, {}, now).empty());
    record(guard, roll_out.to_key(), 0, 40);
    BOOST_CHECK(guard.is_degraded(roll_out.to_key()));
    const auto proposals = controller.decide(configuration, guard, {}, now + 1s);
    BOOST_REQUIRE_EQUAL(proposals.size(), 1U);
    BOOST_CHECK(proposals.front().content_ == coordination::roll_out::halted(roll_out));
}

BOOST_AUTO_TEST_CASE(alarm_is_raised_once_and_ends)
{
    const auto version = roll_out_at(10).to_key();
    auto guard = version_guard{};
    record(guard, version, 570, 30);
    record(guard, version, 0, 40);
    BOOST_CHECK_EQUAL(guard.raise_alarms(now).size(), 1U);
    BOOST_CHECK_EQUAL(guard.raise_alarms(now + 1s).size(), 0U);
    BOOST_CHECK(guard.is_alarmed(version));
    guard.clear_expired_alarms(now + 11min);
    BOOST_CHECK(!guard.is_alarmed(version));
    BOOST_CHECK_EQUAL(guard.raise_alarms(now + 11min).size(), 0U);
}

BOOST_AUTO_TEST_CASE(good_version_is_rolled_out_despite_faults)
{
    constexpr auto seeds = 60;
    auto ended = 0;
    auto races = 0;
    auto crashes = 0;
    auto freezes = 0;
    auto lost = 0;
    auto halts = 0;
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        auto fleet = world::roll_out_fleet{{.seed_ = seed}};
        fleet.run();
        check_steps(fleet.accepted(), seed);
        ended += fleet.has_ended() ? 1 : 0;
        halts += fleet.accepted().back().state_ == state::roll_out_state::halted ? 1 : 0;
        races += fleet.races_lost();
        crashes += fleet.crashes();
        freezes += fleet.freezes();
        lost += fleet.answers_lost();
    }
    BOOST_TEST_MESSAGE("ended " << ended << " of " << seeds << ", halted " << halts << "; races lost "
                                << races << ", deaths " << crashes << ", freezes " << freezes
                                << ", answers lost " << lost);
    BOOST_CHECK_EQUAL(ended, seeds);
    BOOST_CHECK_LE(halts, seeds / 10);
    BOOST_CHECK_GT(races, 0);
    BOOST_CHECK_GT(crashes, 0);
    BOOST_CHECK_GT(freezes, 0);
    BOOST_CHECK_GT(lost, 0);
}

BOOST_AUTO_TEST_CASE(bad_version_is_always_halted)
{
    constexpr auto seeds = 60;
    for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
        auto fleet = world::roll_out_fleet{{.seed_ = seed, .to_bad_ = 0.35}};
        fleet.run();
        check_steps(fleet.accepted(), seed);
        BOOST_CHECK_MESSAGE(fleet.accepted().back().state_ == state::roll_out_state::halted,
                            "seed " << seed << ": a bad version was not halted");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include "world/crashing_part_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
using world::crashing_part_fleet;
using world::crashing_part_plan;

/// The users' limit on requests with the part after the fifth crash.
constexpr auto max_late_sends = std::int64_t{3};

auto check_run(const crashing_part_plan& plan, const std::string& name) -> void
{
    const auto result = crashing_part_fleet{plan}.run();
    BOOST_TEST_MESSAGE(name << ", seed " << plan.seed_ << ": crashes " << result.crashes_by_part_
                            << " late sends " << result.late_guilty_sends_ << " sound "
                            << result.late_sound_answered_ << " of " << result.late_sound_ << " refused "
                            << result.sound_refused_for_crashes_);
    const auto where = name + ", seed " + std::to_string(plan.seed_) + ": ";
    if (result.late_guilty_sends_ > max_late_sends)
        BOOST_ERROR(where << result.late_guilty_sends_ << " requests with the part after the fifth crash, of "
                          << result.crashes_by_part_);
    // Sound callers are served at least half as often as before, by the users' rule.
    const auto before =
        static_cast<double>(result.early_sound_answered_) / static_cast<double>(result.early_sound_);
    if (result.late_sound_ >= 20) {
        const auto after =
            static_cast<double>(result.late_sound_answered_) / static_cast<double>(result.late_sound_);
        if (after < before / 2)
            BOOST_ERROR(where << "served after the fifth crash " << after << ", before " << before);
    }
}

/// A long set is run with BUCKTHORNDALE_SEEDS.
auto seed_count(std::uint64_t fallback) -> std::uint64_t
{
    const auto* const text = std::getenv("BUCKTHORNDALE_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::stoull(text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts)

/// Guards against endpoints that crash one after the other under requests that share one part of their
/// prompts.
BOOST_AUTO_TEST_CASE(a_part_that_crashes_endpoints_is_stopped_and_sound_callers_are_served)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(12); ++seed) {
        for (const auto position : {std::size_t{0}, std::size_t{1}}) {
            const auto name = "position " + std::to_string(position) + ", ";
            check_run({.seed_ = seed, .guilty_position_ = position}, name + "8 instances");
            check_run({.seed_ = seed, .guilty_share_ = 0.1, .guilty_position_ = position}, name + "frequent");
            check_run({.seed_ = seed, .guilty_position_ = position, .has_restarts_ = true},
                      name + "restarts");
            check_run({.seed_ = seed, .guilty_position_ = position, .other_crashes_ = 2},
                      name + "other crashes");
            check_run({.seed_ = seed,
                       .instances_ = 40,
                       .endpoints_ = 40,
                       .rate_ = 160,
                       .guilty_share_ = 0.01,
                       .guilty_position_ = position},
                      name + "40 instances");
        }
    }
}

/// Guards against sound requests that are refused because endpoints fail together for another reason.
BOOST_AUTO_TEST_CASE(endpoints_that_fail_together_condemn_no_part)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(40); ++seed) {
        for (const auto crashes : {std::size_t{1}, std::size_t{3}, std::size_t{6}}) {
            const auto result =
                crashing_part_fleet{{.seed_ = seed, .guilty_share_ = 0, .other_crashes_ = crashes}}.run();
            BOOST_TEST(result.sound_refused_for_crashes_ == 0,
                       "seed " << seed << ", " << crashes << " at a time: "
                               << result.sound_refused_for_crashes_ << " sound requests refused");
        }
    }
}

/// Guards against a verdict that outlives its reason, and against trials that crash more endpoints than one.
BOOST_AUTO_TEST_CASE(a_blocked_part_is_tried_again_and_cleared_by_an_answer)
{
    const auto part = state::prompt_part_key{7};
    const auto start = state::time_point{100s};
    auto suspects = coordination::suspicion::part_suspects{};
    for (auto number = 0; number < 3; ++number)
        suspects.record_crash({.endpoint_ = state::endpoint_id{"e" + std::to_string(number)},
                               .parts_ = {part},
                               .sent_at_ = start + number * 2s - 1s},
                              start + number * 2s);
    BOOST_TEST(suspects.judge(start + 4500ms).empty());
    BOOST_TEST(suspects.judge(start + 4700ms).size() == 1U);
    BOOST_TEST(suspects.is_blocked({part}));
    BOOST_TEST(!suspects.begin_trial({part}, start + 19s, 0.5));
    BOOST_TEST(suspects.begin_trial({part}, start + 20s, 0.5));
    BOOST_TEST(!suspects.begin_trial({part}, start + 29s, 0.5));
    // Another instance that takes the block over begins no trial of its own.
    auto other = coordination::suspicion::part_suspects{};
    for (const auto& blocked : suspects.blocked_parts(start + 29s))
        BOOST_TEST(other.record_remote_block(blocked, start + 29s));
    BOOST_TEST(!other.begin_trial({part}, start + 40s, 0.5));
    // An answer that began before the last crash does not refute that one.
    suspects.record_answer({part}, start + 3s);
    BOOST_TEST(suspects.is_blocked({part}));
    BOOST_TEST(suspects.record_answer({part}, start + 29s).size() == 1U);
    BOOST_TEST(!suspects.is_blocked({part}));
    // An instance that missed the answer does not bring the block back.
    for (const auto& blocked : other.blocked_parts(start + 30s))
        BOOST_TEST(!suspects.record_remote_block(blocked, start + 30s));
    BOOST_TEST(!suspects.is_blocked({part}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

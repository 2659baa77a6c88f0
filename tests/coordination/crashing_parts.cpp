#include "world/crashing_part_fleet.hpp"

#include <boost/test/unit_test.hpp>

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

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_parts)

/// Guards against endpoints that crash one after the other under requests that share one part of their
/// prompts.
BOOST_AUTO_TEST_CASE(a_part_that_crashes_endpoints_is_stopped_and_sound_callers_are_served)
{
    for (auto seed = std::uint64_t{1}; seed <= 12; ++seed) {
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

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

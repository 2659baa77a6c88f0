#include "world/forward_simulation.hpp"

#include <boost/test/unit_test.hpp>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
using world::forward_plan;
using world::forward_simulation;

auto check_no_violations(const world::forward_result& result, std::uint64_t seed) -> void
{
    for (const auto& violation : result.violations_)
        BOOST_ERROR("seed " << seed << ": " << violation);
}

} // namespace

BOOST_AUTO_TEST_SUITE(forwarded_runs)

BOOST_AUTO_TEST_CASE(calm_traffic_is_answered_in_time)
{
    const auto result = forward_simulation{{.seed_ = 3, .has_faults_ = false}}.run();
    check_no_violations(result, 3);
    BOOST_TEST(result.in_time_ == result.sent_);
}

BOOST_AUTO_TEST_CASE(guarantees_hold_while_endpoints_fail_and_leave)
{
    for (auto seed = std::uint64_t{1}; seed <= 120; ++seed) {
        const auto result = forward_simulation{{.seed_ = seed}}.run();
        check_no_violations(result, seed);
        // The retry budget grows by a fifth of a retry per first attempt, up to a balance of twenty.
        BOOST_TEST(result.retries_ <= result.sent_ / 5 + 20 + result.sent_ / 10);
    }
}

BOOST_AUTO_TEST_CASE(endpoints_that_leave_or_ask_for_a_pause_get_what_they_allow)
{
    auto announced = std::int64_t{0};
    auto pauses = std::int64_t{0};
    for (auto seed = std::uint64_t{1}; seed <= 60; ++seed) {
        const auto result = forward_simulation{{.seed_ = seed, .has_notices_ = true}}.run();
        check_no_violations(result, seed);
        announced += result.announced_;
        pauses += result.pauses_;
        BOOST_TEST(result.in_time_ > result.sent_ / 2);
    }
    BOOST_TEST_MESSAGE("announced " << announced << " pauses " << pauses);
    BOOST_TEST(announced > 100);
    BOOST_TEST(pauses > 100);
}

/// Load pattern: three times the endpoints' capacity, as after the loss of most endpoints.
BOOST_AUTO_TEST_CASE(under_three_times_the_load_the_endpoints_time_goes_to_answers_in_time)
{
    auto plan = forward_plan{
        .duration_ = 40s, .rate_ = 400, .endpoints_ = 2, .slots_ = 4, .work_ = 60ms, .has_faults_ = false};
    const auto capacity = 2 * 4 / 0.06 * 40;
    auto in_time = std::int64_t{0};
    auto without = std::int64_t{0};
    for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        plan.seed_ = seed;
        plan.uses_latency_window_ = true;
        const auto kept = forward_simulation{plan}.run();
        check_no_violations(kept, seed);
        in_time += kept.in_time_;
        BOOST_TEST_MESSAGE("asked " << kept.sent_ << " in time " << kept.in_time_ << " late " << kept.late_
                                    << " refused " << kept.refused_ << " retries " << kept.retries_);
        plan.uses_latency_window_ = false;
        without += forward_simulation{plan}.run().in_time_;
    }
    BOOST_TEST_MESSAGE("in time " << in_time / 5 << ", without the window " << without / 5 << ", capacity "
                                  << capacity);
    BOOST_TEST(static_cast<double>(in_time) / 5 > 0.8 * capacity);
    BOOST_TEST(without < in_time);
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_exposed_to_few_requests)
{
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        const auto result =
            forward_simulation{
                {.seed_ = seed, .duration_ = 24s, .has_faults_ = false, .has_bad_version_ = true}}
                .run();
        check_no_violations(result, seed);
        // The required limit: 15% of the requests plus 30.
        BOOST_TEST(result.bad_version_runs_ <= result.sent_ * 15 / 100 + 30);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

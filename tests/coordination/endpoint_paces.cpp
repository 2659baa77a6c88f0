#include "coordination/forwarding/endpoint_paces.hpp"

#include <boost/test/unit_test.hpp>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;

constexpr auto start = state::time_point{100s};

auto listed(const std::string& id) -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{id}, .service_ = state::service_name{"advice"}};
}

/// One endpoint of a service, which gets four answers a second, among four that are as fast as expected.
struct paces_fixture {
    paces_fixture()
    {
        paces_.set_endpoints({listed("e1"), listed("e2"), listed("e3"), listed("e4"), listed("e5")});
    }

    /// Lets the time pass with answers that each take `factor` times as long at the first endpoint.
    auto answer(int seconds, double factor, double factor_of_others = 1.0) -> void
    {
        constexpr auto expected = state::duration{200ms};
        const auto taken = [expected](double of) {
            return std::chrono::duration_cast<state::duration>(expected * of);
        };
        for (auto passed = 0; passed < seconds; ++passed) {
            now_ += 1s;
            for (auto answers = 0; answers < 4; ++answers) {
                paces_.record(endpoint_, taken(factor), expected);
                for (const auto* const other : {"e2", "e3", "e4", "e5"})
                    paces_.record(state::endpoint_id{other}, taken(factor_of_others), expected);
            }
            paces_.refresh({}, now_);
        }
    }

    state::endpoint_id endpoint_{"e1"};
    forwarding::endpoint_paces paces_;
    state::time_point now_{start};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endpoint_paces, paces_fixture)

BOOST_AUTO_TEST_CASE(an_unknown_endpoint_counts_as_average)
{
    BOOST_TEST(paces_.pace(state::endpoint_id{"e9"}) == 1.0);
    BOOST_TEST(paces_.share(state::endpoint_id{"e9"}) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_change_by_a_factor_of_two_is_learned_within_seconds)
{
    answer(10, 1.0);
    BOOST_TEST(paces_.share(endpoint_) == 1.0);
    answer(5, 2.0);
    BOOST_TEST(paces_.pace(endpoint_) > 1.3);
    BOOST_TEST(paces_.share(endpoint_) < 1.0);
    answer(10, 1.0);
    BOOST_TEST(paces_.share(endpoint_) == 1.0);
}

/// Load pattern: all endpoints slow down together, as in a burst of long prompts. None of them is to blame.
BOOST_AUTO_TEST_CASE(what_concerns_all_endpoints_changes_no_share)
{
    answer(10, 1.0);
    answer(5, 2.5, 2.5);
    BOOST_TEST(paces_.pace(endpoint_) == 1.0);
    BOOST_TEST(paces_.count_slow() == 0U);
    BOOST_TEST(paces_.count_fast() == 0U);
}

BOOST_AUTO_TEST_CASE(evidence_fades_so_that_a_slow_endpoint_is_tried_again)
{
    answer(10, 3.0);
    BOOST_TEST(paces_.pace(endpoint_) > 1.5);
    paces_.refresh({}, now_ + 30s);
    BOOST_TEST(paces_.pace(endpoint_) == 1.0);
    BOOST_TEST(paces_.share(endpoint_) == 1.0);
}

BOOST_AUTO_TEST_CASE(what_other_instances_saw_counts_like_own_answers)
{
    const auto usual = [](const std::string& id) {
        return forwarding::endpoint_pace_sums{
            .endpoint_ = state::endpoint_id{id}, .taken_ = 3s, .expected_ = 3s};
    };
    auto slow = usual("e1");
    slow.taken_ = 7s;
    const auto remote = std::vector{slow, usual("e2"), usual("e3"), usual("e4"), usual("e5")};
    paces_.refresh(remote, now_);
    const auto pace = paces_.pace(endpoint_);
    BOOST_TEST(pace > 1.4);
    // A report that comes twice replaces itself.
    paces_.refresh(remote, now_);
    BOOST_TEST(paces_.pace(endpoint_) == pace);
    paces_.refresh({}, now_);
    BOOST_TEST(paces_.pace(endpoint_) == 1.0);
}

BOOST_AUTO_TEST_CASE(single_answers_and_hung_ones_do_not_move_the_keys)
{
    answer(3, 1.0);
    paces_.record(endpoint_, 60ms, 30ms);
    paces_.record(endpoint_, 20s, 30ms);
    paces_.refresh({}, now_);
    BOOST_TEST(paces_.share(endpoint_) == 1.0);
}

BOOST_AUTO_TEST_CASE(paces_stay_within_bounds)
{
    answer(20, 100.0);
    BOOST_TEST(paces_.pace(endpoint_) <= 4.0);
    answer(60, 0.01);
    BOOST_TEST(paces_.pace(endpoint_) >= 0.4);
    paces_.record(endpoint_, 0ms, 30ms);
    paces_.record(endpoint_, 30ms, 0ms);
    paces_.refresh({}, now_);
    BOOST_TEST(paces_.pace(endpoint_) >= 0.4);
}

BOOST_AUTO_TEST_CASE(paces_of_endpoints_that_left_are_forgotten)
{
    answer(10, 3.0);
    BOOST_TEST(paces_.count_slow() == 1U);
    paces_.set_endpoints({listed("e2")});
    BOOST_TEST(paces_.count_slow() == 0U);
    paces_.set_endpoints({listed("e1")});
    BOOST_TEST(paces_.pace(endpoint_) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

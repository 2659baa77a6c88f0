#include "coordination/forwarding/endpoint_limits.hpp"
#include "world/stated_limit_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
using world::stated_limit_fleet;
using world::stated_limit_plan;
using world::stated_limit_result;

auto play(const stated_limit_plan& plan, const std::string& name) -> stated_limit_result
{
    const auto result = stated_limit_fleet{plan}.run();
    BOOST_TEST_MESSAGE(name << ", seed " << plan.seed_ << ": beyond the limit " << result.most_beyond_limit_
                            << " falls " << result.falls_ << " answered " << result.answered_ << " of "
                            << result.sent_ << ", while limited " << result.answered_while_limited_ << " of "
                            << result.sent_while_limited_ << ", at limited ones " << result.at_limited_
                            << ", afterwards " << result.at_limited_afterwards_ << ", longest refusal "
                            << result.longest_refusal_.count() / 1000 << " ms, datagrams "
                            << result.datagrams_);
    return result;
}

/// A long set is run with BUCKTHORNDALE_SEEDS.
auto seed_count(std::uint64_t fallback) -> std::uint64_t
{
    const auto* const text = std::getenv("BUCKTHORNDALE_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::stoull(text);
}

auto share(std::int64_t part, std::int64_t whole) -> double
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

auto listed(std::uint64_t incarnation) -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{"e"}, .incarnation_ = incarnation};
}

/// The limits as one of some instances knows them.
auto limits_of(std::size_t own, std::size_t instances, state::time_point now)
    -> coordination::forwarding::endpoint_limits
{
    auto all = std::vector<state::instance_id>{};
    for (auto number = std::size_t{0}; number < instances; ++number)
        all.emplace_back("front-" + std::to_string(number));
    auto limits = coordination::forwarding::endpoint_limits{};
    limits.set_instances(all.at(own), all, now);
    return limits;
}

constexpr auto start = state::time_point{100s};

} // namespace

BOOST_AUTO_TEST_SUITE(stated_limits)

/// Guards against limits that each instance, or none, holds by itself.
BOOST_AUTO_TEST_CASE(the_requests_of_all_instances_together_stay_within_the_limit)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(6); ++seed) {
        for (const auto limit : {0.5, 1.0, 4.0, 30.0, 1000.0}) {
            for (const auto disturbance : {0, 1, 2, 3}) {
                // The highest limit is exceeded, or is far above the load.
                const auto high_rate = disturbance == 3 ? 600.0 : 3000.0;
                const auto result =
                    play({.seed_ = seed,
                          .rate_ = limit > 100 ? high_rate : 120.0,
                          .limited_endpoints_ = 2,
                          .limit_ = limit,
                          .places_ = 64,
                          .queue_ = 64,
                          .work_ = 20ms,
                          .has_uneven_load_ = disturbance == 3,
                          .has_restarts_ = disturbance == 1,
                          .has_cuts_ = disturbance == 2},
                         "limit " + std::to_string(limit) + ", disturbance " + std::to_string(disturbance));
                BOOST_TEST(result.most_beyond_limit_ <= 0);
                // The other two endpoints can take all of it.
                BOOST_TEST(share(result.answered_while_limited_, result.sent_while_limited_) >= 0.99);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(hundreds_of_instances_share_one_request_a_second)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(2); ++seed) {
        for (const auto limit : {0.5, 1.0, 1000.0}) {
            const auto result = play({.seed_ = seed,
                                      .instances_ = 360,
                                      .endpoints_ = 40,
                                      .duration_ = 20s,
                                      .rate_ = 1900,
                                      .limited_endpoints_ = 4,
                                      .limit_ = limit,
                                      .limited_for_ = 10s,
                                      .places_ = 64,
                                      .queue_ = 64,
                                      .has_restarts_ = true,
                                      .has_cuts_ = true},
                                     "360 instances, limit " + std::to_string(limit));
            BOOST_TEST(result.most_beyond_limit_ <= 0);
            BOOST_TEST(share(result.answered_while_limited_, result.sent_while_limited_) >= 0.99);
        }
    }
}

/// Guards against an endpoint that stays unused because nobody asks whether its limit still holds.
BOOST_AUTO_TEST_CASE(an_endpoint_is_used_again_soon_after_its_limit_ends)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(10); ++seed) {
        for (const auto limit : {0.5, 1.0, 10.0}) {
            const auto result =
                play({.seed_ = seed, .limit_ = limit}, "the end of limit " + std::to_string(limit));
            // A quarter of 60 a second for 2 s, of which it gets half at least.
            BOOST_TEST(result.at_limited_afterwards_ >= 15);
        }
    }
}

/// Guards against callers that wait for endpoints which take no more requests.
BOOST_AUTO_TEST_CASE(what_limited_endpoints_do_not_take_is_refused_at_once)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(6); ++seed) {
        for (const auto is_uneven : {false, true}) {
            const auto result =
                play({.seed_ = seed, .limited_endpoints_ = 4, .limit_ = 4, .has_uneven_load_ = is_uneven},
                     is_uneven ? "all limited, uneven" : "all limited");
            BOOST_TEST(result.most_beyond_limit_ <= 0);
            BOOST_TEST(result.longest_refusal_ <= 100ms);
            // The limits allow 4 x 4 a second for 14 s.
            BOOST_TEST(result.answered_while_limited_ >= 0.6 * 4 * 4 * 14);
        }
    }
}

/// Guards against endpoints that fail for the load of those that failed before them.
BOOST_AUTO_TEST_CASE(brittle_endpoints_do_not_fail_one_after_the_other)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(10); ++seed) {
        for (const auto rate : {120.0, 165.0, 240.0}) {
            for (const auto max_declines : {1.0, 3.0}) {
                const auto name =
                    std::to_string(rate) + " a second, " + std::to_string(max_declines) + " declines";
                const auto result = play({.seed_ = seed,
                                          .instances_ = 3,
                                          .duration_ = 17s,
                                          .rate_ = rate,
                                          .limited_endpoints_ = 0,
                                          .places_ = 2,
                                          .queue_ = 2,
                                          .max_declines_ = max_declines},
                                         name);
                // Two and a tenth of the endpoints, by the users' rule.
                BOOST_TEST(result.falls_ <= 2);
                // The endpoints can answer 200 a second.
                BOOST_TEST(share(result.answered_, result.sent_) >= 0.5 * std::min(1.0, 200 / rate));
            }
        }
    }
}

/// Guards against as many permits as there are instances when brittle endpoints or limits meet a large fleet.
BOOST_AUTO_TEST_CASE(brittle_endpoints_of_large_fleets_do_not_fail_one_after_the_other)
{
    for (auto seed = std::uint64_t{1}; seed <= seed_count(3); ++seed) {
        for (const auto instances : {std::size_t{8}, std::size_t{75}, std::size_t{360}}) {
            const auto result = play({.seed_ = seed,
                                      .instances_ = instances,
                                      .endpoints_ = 12,
                                      .duration_ = 17s,
                                      .rate_ = 1000,
                                      .limited_endpoints_ = 0,
                                      .places_ = 6,
                                      .queue_ = 3,
                                      .work_ = 60ms,
                                      .max_declines_ = 3,
                                      .has_restarts_ = true},
                                     std::to_string(instances) + " instances, brittle");
            // Two and a tenth of the endpoints, by the users' rule.
            BOOST_TEST(result.falls_ <= 3);
            // The endpoints can answer 1,200 a second.
            BOOST_TEST(share(result.answered_, result.sent_) >= 0.5);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_run_of_its_endpoint)
{
    auto limits = limits_of(0, 8, start);
    BOOST_TEST(limits.record_answer(listed(1), 1.0, start).has_value());
    BOOST_TEST(limits.is_limited(listed(1)));
    BOOST_TEST(!limits.is_limited(listed(2)));
    BOOST_TEST((limits.next_request_at(listed(2), start) == start));
    // News of the run before does not bring the limit back.
    BOOST_TEST(limits.record_answer(listed(2), 4.0, start + 1s).has_value());
    limits.record_news({.endpoint_ = state::endpoint_id{"e"}, .incarnation_ = 1, .rate_ = 1.0}, start + 2s);
    BOOST_TEST(limits.is_limited(listed(2)));
}

BOOST_AUTO_TEST_CASE(the_newest_response_decides_whether_a_limit_holds)
{
    auto limits = limits_of(0, 8, start);
    limits.record_answer(listed(1), 1.0, start);
    // A response from before the limit, which arrived late.
    BOOST_TEST(!limits.record_answer(listed(1), 0.0, start + 50ms).has_value());
    BOOST_TEST(limits.is_limited(listed(1)));
    BOOST_TEST(limits.record_answer(listed(1), 0.0, start + 2s).has_value());
    BOOST_TEST(!limits.is_limited(listed(1)));
    // An instance that missed the end is told of it.
    const auto reply = limits.record_news(
        {.endpoint_ = state::endpoint_id{"e"}, .incarnation_ = 1, .rate_ = 1.0, .seen_ago_ = 2s}, start + 3s);
    BOOST_TEST(reply.has_value());
    BOOST_TEST(reply->rate_ == 0.0);
    BOOST_TEST(!limits.is_limited(listed(1)));
}

BOOST_AUTO_TEST_CASE(permits_that_are_handed_over_are_used_once)
{
    auto total = 0;
    constexpr auto instances = std::size_t{8};
    auto all = std::vector<coordination::forwarding::endpoint_limits>{};
    for (auto number = std::size_t{0}; number < instances; ++number) {
        all.push_back(limits_of(number, instances, start));
        all.back().record_answer(listed(1), 10.0, start);
    }
    for (auto now = start; now < start + 10s; now += 20ms) {
        // The first instance alone has requests, and asks all others.
        auto& first = all.front();
        while (first.next_request_at(listed(1), now) <= now) {
            first.record_sent(listed(1), now);
            ++total;
        }
        first.record_unmet(listed(1), now);
        for (const auto& wanted : first.wanted_permits(now)) {
            for (auto other = std::size_t{1}; other < instances; ++other) {
                if (const auto permits = all.at(other).hand_over(wanted, now))
                    first.receive(*permits, now);
            }
        }
    }
    BOOST_TEST(total <= 101);
    BOOST_TEST(total >= 70);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

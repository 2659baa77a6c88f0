#include "coordination/suspicion/recent_times.hpp"
#include "world/forward_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
using coordination::forwarding::forward_outcome;

/// Callers that send the same lookup again and again.
struct same_lookup : world::forward_fixture {
    same_lookup() : forward_fixture{true} { set_route(state::request_kind::safe, false); }

    /// Sends a copy. Returns whether an endpoint got it.
    auto send() -> bool
    {
        const auto sent_before = port_.commands_.size();
        send_request(++last_handle_);
        return port_.commands_.size() > sent_before;
    }

    auto crash(std::size_t command) -> void
    {
        engine_.attempt_ended(
            {.attempt_ = port_.commands_.at(command).attempt_, .outcome_ = forward_outcome::crashed});
    }

    /// Lets the engine decide on crashes, after which the endpoints are back.
    auto settle() -> void
    {
        for (auto i = 0; i < 20; ++i) {
            wait(100ms);
            engine_.tick();
        }
        for (const auto& command : port_.commands_)
            engine_.endpoint_probed(command.endpoint_, true);
    }

    /// Sends copies one after the other, each of which crashes its endpoint.
    auto crash_in_sequence(int count) -> void
    {
        for (auto i = 0; i < count; ++i) {
            BOOST_REQUIRE(send());
            crash(port_.commands_.size() - 1);
            settle();
        }
    }

    std::uint64_t last_handle_{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_requests)

// Two endpoints that crashed together got a lookup refused for ten minutes that both were running.
BOOST_AUTO_TEST_CASE(endpoints_that_crash_together_condemn_no_request)
{
    auto callers = same_lookup{};
    for (auto i = 0; i < 3; ++i)
        BOOST_REQUIRE(callers.send());
    // A short request may have been sent just before.
    callers.wait(20ms);
    callers.crash(0);
    callers.crash(1);
    callers.settle();
    for (auto i = 0; i < 5; ++i)
        BOOST_TEST(callers.send());
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_one_after_the_other_is_refused)
{
    auto callers = same_lookup{};
    callers.crash_in_sequence(2);
    BOOST_TEST(!callers.send());
    BOOST_REQUIRE(!callers.port_.refusals_.empty());
    // Each trial may cost another endpoint.
    BOOST_CHECK(callers.port_.refusals_.back().retry_after_ > 50s);
}

// A request is sent again at once after a crash, so its crashes lie close together.
BOOST_AUTO_TEST_CASE(crashes_of_one_request_and_its_retry_suffice)
{
    auto callers = same_lookup{};
    callers.configure(3, {.name_ = "plain",
                          .host_ = "h",
                          .path_prefix_ = "/",
                          .kind_ = state::request_kind::safe,
                          .max_attempts_ = 3,
                          .targets_ = {{.service_ = callers.service_}}});
    BOOST_REQUIRE(callers.send());
    callers.crash(0);
    BOOST_REQUIRE(callers.port_.commands_.size() == 2U);
    callers.wait(10ms);
    callers.crash(1);
    BOOST_TEST(callers.port_.commands_.size() == 2U);
    callers.wait(100ms);
    callers.engine_.tick();
    BOOST_TEST(!callers.send());
}

// Copies of a request went on crashing endpoints while a verdict was awaited.
BOOST_AUTO_TEST_CASE(copies_that_come_at_once_are_refused_after_two_crashes)
{
    auto callers = same_lookup{};
    auto crashes = 0;
    for (auto copy = 0; copy < 7; ++copy) {
        if (callers.send()) {
            callers.crash(callers.port_.commands_.size() - 1);
            ++crashes;
        }
        callers.wait(150ms);
        callers.engine_.tick();
    }
    BOOST_TEST(crashes == 2);
}

// Instances that started later let a request crash endpoints that all others refused.
BOOST_AUTO_TEST_CASE(an_instance_that_starts_later_learns_of_crashing_requests)
{
    auto callers = same_lookup{};
    callers.crash_in_sequence(2);
    auto later = same_lookup{};
    BOOST_REQUIRE(!callers.engine_.blocked_parts().empty());
    for (const auto& blocked : callers.engine_.blocked_parts())
        later.engine_.record_remote_blocked_part(blocked);
    BOOST_TEST(!later.send());
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_trial_lets_the_request_through_again)
{
    auto callers = same_lookup{};
    callers.crash_in_sequence(2);
    callers.wait(121s);
    BOOST_REQUIRE(callers.send());
    BOOST_TEST(!callers.send());
    callers.receive_headers(100);
    callers.end_attempt(forward_outcome::complete);
    BOOST_TEST(callers.send());
}

BOOST_AUTO_TEST_CASE(a_request_that_was_answered_needs_more_evidence)
{
    auto callers = same_lookup{};
    BOOST_REQUIRE(callers.send());
    callers.receive_headers(100);
    callers.end_attempt(forward_outcome::complete);
    callers.crash_in_sequence(3);
    BOOST_TEST(callers.send());
    callers.crash(callers.port_.commands_.size() - 1);
    callers.settle();
    BOOST_TEST(!callers.send());
}

// Remembering each answered request took time that grew with the number of those remembered.
BOOST_AUTO_TEST_CASE(the_answers_of_many_requests_are_remembered_at_a_constant_cost)
{
    auto times = coordination::suspicion::recent_times{};
    const auto at = [](std::uint64_t number) { return state::time_point{} + 1ms * number; };
    const auto key = [](std::uint64_t number) { return state::prompt_part_key{number}; };
    constexpr auto count = std::uint64_t{1'000'000};
    for (auto number = std::uint64_t{0}; number < count; ++number)
        times.record(key(number), at(number));
    BOOST_TEST((times.find(key(count - 1)) == at(count - 1)));
    BOOST_TEST((times.find(key(count - 2000)) == at(count - 2000)));
    BOOST_TEST(!times.find(key(0)).has_value());
    // An older time does not replace a newer one.
    times.record(key(count - 1), at(1));
    BOOST_TEST((times.find(key(count - 1)) == at(count - 1)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

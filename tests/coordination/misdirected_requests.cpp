#include "world/forward_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;

/// Callers of six endpoints, some of which name a model that no endpoint has.
struct misdirecting_callers : world::forward_fixture {
    misdirecting_callers() : forward_fixture{true} {}

    /// Sends a request for an unknown model. All endpoints turn it away; `names_itself` tells whether they
    /// say who they are.
    auto send_unknown_model(bool names_itself) -> void
    {
        const auto sent_before = port_.commands_.size();
        engine_.arrive(state::request_handle{++last_handle_}, {.id_ = state::request_id{"unknown"},
                                                               .host_ = "h",
                                                               .path_ = "/x",
                                                               .time_allowed_ = 15s,
                                                               .model_ = state::model_name{"huge"},
                                                               .prompt_tokens_ = state::token_count{1}});
        for (auto next = sent_before; next < port_.commands_.size(); ++next) {
            const auto command = port_.commands_[next];
            const auto name = names_itself ? command.endpoint_ : state::endpoint_id{};
            engine_.attempt_ended({.attempt_ = command.attempt_,
                                   .outcome_ = forwarding::forward_outcome::misdirected,
                                   .answered_by_ = name});
        }
    }

    /// Sends a request that any endpoint serves. Returns whether one got it.
    auto send_sound() -> bool
    {
        const auto sent_before = port_.commands_.size();
        send_request(++last_handle_);
        if (port_.commands_.size() == sent_before)
            return false;
        receive_headers(100);
        end_attempt(forwarding::forward_outcome::complete, "1");
        return true;
    }

    /// Plays a minute with one request for an unknown model and five sound ones a second. Returns how many of
    /// these an endpoint got.
    auto play_minute(bool names_itself) -> int
    {
        auto served = 0;
        for (auto second = 0; second < 60; ++second) {
            send_unknown_model(names_itself);
            for (auto i = 0; i < 5; ++i) {
                served += send_sound() ? 1 : 0;
                wait(200ms);
                engine_.tick();
            }
        }
        return served;
    }

    std::uint64_t last_handle_{0};
};

constexpr auto sound_requests = 300;

} // namespace

BOOST_AUTO_TEST_SUITE(misdirected_requests)

// One caller's wrong model took out every model endpoint for all callers.
BOOST_AUTO_TEST_CASE(a_caller_with_an_unknown_model_takes_out_no_endpoint)
{
    for (const auto names_itself : {true, false}) {
        auto callers = misdirecting_callers{};
        BOOST_TEST(callers.play_minute(names_itself) == sound_requests);
    }
}

// Requests that endpoints find invalid took out the endpoints.
BOOST_AUTO_TEST_CASE(a_caller_with_invalid_requests_takes_out_no_endpoint)
{
    using forwarding::forward_outcome;
    for (const auto outcome : {forward_outcome::failed, forward_outcome::declined}) {
        auto callers = misdirecting_callers{};
        const auto id = state::endpoint_id{"e1"};
        callers.engine_.update_endpoints({{.id_ = id, .service_ = callers.service_, .slots_ = 8}});
        callers.set_route(state::request_kind::non_idempotent, false);
        for (auto request = std::uint64_t{1000}; request < 1040; ++request) {
            callers.send_request(request);
            callers.engine_.attempt_ended({.attempt_ = callers.port_.commands_.back().attempt_,
                                           .outcome_ = outcome,
                                           .blames_request_ = true});
            callers.wait(500ms);
        }
        // Each caller gets the endpoint's own answer.
        BOOST_TEST(callers.port_.finished_.size() == 40U);
        // As many sound requests as before are let through at a time.
        for (auto request = std::uint64_t{2000}; request < 2009; ++request)
            callers.send_request(request);
        BOOST_TEST(callers.port_.commands_.size() == 49U);
    }
}

BOOST_AUTO_TEST_CASE(an_unknown_model_is_refused_for_good_after_one_endpoint_names_itself)
{
    auto callers = misdirecting_callers{};
    callers.send_unknown_model(true);
    BOOST_TEST(callers.port_.commands_.size() == 1U);
    BOOST_REQUIRE(callers.port_.refusals_.size() == 1U);
    const auto& refusal = callers.port_.refusals_.front();
    BOOST_CHECK(refusal.kind_ == state::error_kind::unknown_model);
    BOOST_CHECK(refusal.run_ == coordination::routing::run_state::not_run);
    BOOST_CHECK(refusal.retry_after_ > 0s);
}

BOOST_AUTO_TEST_CASE(a_model_that_the_route_does_not_have_reaches_no_endpoint_while_the_route_is_current)
{
    auto callers = misdirecting_callers{};
    callers.engine_.set_fresh(true);
    callers.send_unknown_model(true);
    BOOST_TEST(callers.port_.commands_.empty());
    BOOST_REQUIRE(callers.port_.refusals_.size() == 1U);
    BOOST_CHECK(callers.port_.refusals_.front().kind_ == state::error_kind::unknown_model);
}

BOOST_AUTO_TEST_CASE(endpoints_that_do_not_name_themselves_are_asked_now_and_then)
{
    auto callers = misdirecting_callers{};
    callers.play_minute(false);
    for (auto number = 1; number <= 6; ++number) {
        const auto id = state::endpoint_id{"e" + std::to_string(number)};
        const auto asked = std::ranges::count(callers.port_.identified_, id);
        // At most once in two seconds.
        BOOST_TEST(asked <= 30);
    }
    BOOST_TEST(!callers.port_.identified_.empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_whose_address_another_one_has_gets_nothing_until_it_is_back)
{
    auto callers = misdirecting_callers{};
    const auto id = state::endpoint_id{"e1"};
    callers.engine_.update_endpoints({{.id_ = id, .service_ = callers.service_, .slots_ = 8}});
    callers.send_request(100);
    callers.engine_.attempt_ended({.attempt_ = callers.port_.commands_.back().attempt_,
                                   .outcome_ = forwarding::forward_outcome::misdirected,
                                   .answered_by_ = state::endpoint_id{"e9"}});
    BOOST_TEST(!callers.send_sound());
    callers.wait(3s);
    callers.engine_.tick();
    BOOST_REQUIRE(callers.port_.identified_ == std::vector{id});
    callers.engine_.endpoint_identified(id, state::endpoint_id{"e9"});
    BOOST_TEST(!callers.send_sound());
    // A lost answer tells nothing.
    callers.engine_.endpoint_identified(id, {});
    BOOST_TEST(!callers.send_sound());
    callers.engine_.endpoint_identified(id, id);
    BOOST_TEST(callers.send_sound());
}

BOOST_AUTO_TEST_CASE(an_unnamed_refusal_and_a_check_show_that_another_endpoint_has_the_address)
{
    auto callers = misdirecting_callers{};
    const auto id = state::endpoint_id{"e1"};
    callers.engine_.update_endpoints({{.id_ = id, .service_ = callers.service_, .slots_ = 8}});
    callers.send_unknown_model(false);
    callers.engine_.tick();
    BOOST_REQUIRE(callers.port_.identified_ == std::vector{id});
    callers.engine_.endpoint_identified(id, state::endpoint_id{"e9"});
    BOOST_TEST(!callers.send_sound());
    // One that registers anew is used again.
    callers.engine_.update_endpoints(
        {{.id_ = id, .service_ = callers.service_, .slots_ = 8, .incarnation_ = 2}});
    BOOST_TEST(callers.send_sound());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include "world/forward_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

const auto service = state::service_name{"advice"};

using fixture = world::forward_fixture;

} // namespace

BOOST_FIXTURE_TEST_SUITE(forward_engine, fixture)

BOOST_AUTO_TEST_CASE(a_poor_answer_is_dropped_and_the_largest_model_asked)
{
    send_request(1);
    BOOST_TEST(port_.commands_.back().model_.text() == "small");
    BOOST_TEST(port_.commands_.back().is_held_);
    receive_headers(10);
    BOOST_TEST(port_.cancelled_.size() == 1U);
    BOOST_REQUIRE(port_.commands_.size() == 2U);
    BOOST_TEST(port_.commands_.back().model_.text() == "large");
    BOOST_TEST(!port_.commands_.back().is_held_);
    receive_headers(90);
    end_attempt(forward_outcome::complete, "9");
    BOOST_TEST(port_.finished_.size() == 1U);
}

/// Guards against requests that wait for a tick which an idle engine puts off.
BOOST_AUTO_TEST_CASE(an_engine_asks_for_prompt_ticks_while_something_waits)
{
    BOOST_TEST(!engine_.needs_prompt_tick());
    send_request(1);
    receive_headers(90);
    BOOST_TEST(!engine_.needs_prompt_tick());
    report_stall("3");
    end_attempt(forward_outcome::broken, "3");
    BOOST_TEST(engine_.needs_prompt_tick());
}

BOOST_AUTO_TEST_CASE(a_good_answer_is_released_at_once)
{
    send_request(1);
    receive_headers(80);
    BOOST_TEST(port_.released_.size() == 1U);
    BOOST_TEST(port_.commands_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_after_the_last_event_on_the_same_model)
{
    send_request(1);
    receive_headers(80);
    end_attempt(forward_outcome::broken, "4");
    BOOST_REQUIRE(port_.commands_.size() == 2U);
    BOOST_TEST(port_.commands_.back().resume_after_ == "4");
    BOOST_TEST(port_.commands_.back().model_.text() == "small");
    BOOST_TEST(!port_.commands_.back().is_held_);
    BOOST_TEST(port_.commands_.back().endpoint_.text() != port_.commands_.front().endpoint_.text());
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_goes_on_elsewhere_after_the_last_event)
{
    send_request(1);
    receive_headers(90);
    report_stall("3");
    BOOST_TEST(port_.cancelled_.size() == 1U);
    BOOST_REQUIRE(port_.commands_.size() == 2U);
    BOOST_TEST(port_.commands_.back().resume_after_ == "3");
    BOOST_TEST(port_.commands_.back().endpoint_.text() != port_.commands_.front().endpoint_.text());
}

/// Guards against giving up an attempt before there is another one: all streams of an endpoint stall at once.
BOOST_AUTO_TEST_CASE(stalled_streams_are_kept_while_the_retry_budget_is_empty)
{
    constexpr auto streams = std::uint64_t{60};
    constexpr auto full_balance = std::size_t{20};
    auto busy = fixture{false};
    // So many endpoints that those that were silent are a small part.
    auto endpoints = std::vector<state::registered_endpoint>{};
    for (auto number = 1; number <= 200; ++number)
        endpoints.push_back({.id_ = state::endpoint_id{"e" + std::to_string(number)},
                             .service_ = service,
                             .version_ = state::version_name{"v1"},
                             .slots_ = 8});
    busy.engine_.update_endpoints(endpoints);
    for (auto number = std::uint64_t{1}; number <= streams; ++number) {
        busy.send_request(number);
        busy.receive_headers(90);
    }
    const auto first_attempts = busy.port_.commands_;
    BOOST_REQUIRE(first_attempts.size() == streams);
    for (const auto& command : first_attempts) {
        busy.engine_.attempt_stalled(
            {.attempt_ = command.attempt_, .last_event_ = "3", .silent_for_ = command.stall_threshold_});
        if (busy.port_.commands_.size() > first_attempts.size())
            busy.receive_headers(90);
    }
    BOOST_TEST(busy.port_.cancelled_.size() == full_balance);
    BOOST_TEST(busy.port_.commands_.size() == streams + full_balance);
    BOOST_TEST(busy.port_.refusals_.empty());
    BOOST_TEST(busy.engine_.size() == streams);
}

BOOST_AUTO_TEST_CASE(stalled_streams_do_not_all_move_before_one_is_accepted)
{
    constexpr auto streams = std::uint64_t{10};
    constexpr auto max_unconfirmed = std::size_t{4};
    for (auto number = std::uint64_t{1}; number <= streams; ++number) {
        send_request(number);
        receive_headers(90);
    }
    const auto first_attempts = port_.commands_;
    for (const auto& command : first_attempts)
        engine_.attempt_stalled({.attempt_ = command.attempt_, .last_event_ = "3", .silent_for_ = 1500ms});
    BOOST_TEST(port_.cancelled_.size() <= max_unconfirmed);
    BOOST_TEST(!port_.cancelled_.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_whose_new_endpoint_declines_is_not_cut)
{
    send_request(1);
    receive_headers(90);
    report_stall("3");
    constexpr auto declines = 5;
    for (auto i = 0; i < declines; ++i) {
        const auto sent = port_.commands_.size();
        end_attempt(forward_outcome::declined);
        for (auto tick = 0; tick < 400 && port_.commands_.size() == sent; ++tick) {
            wait(20ms);
            engine_.tick();
        }
        BOOST_REQUIRE(port_.commands_.size() == sent + 1);
        BOOST_TEST(port_.commands_.back().resume_after_ == "3");
    }
    receive_headers(90);
    end_attempt(forward_outcome::complete, "9");
    BOOST_TEST(port_.refusals_.empty());
    BOOST_TEST(port_.finished_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failure_after_a_stalled_stream_does_not_replace_what_was_delivered)
{
    send_request(1);
    receive_headers(90);
    report_stall("3");
    for (auto i = 0; i < 2; ++i)
        end_attempt(forward_outcome::failed);
    BOOST_TEST(port_.finished_.empty());
    BOOST_TEST(port_.refusals_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_poor_answer_is_kept_while_the_retry_budget_is_empty)
{
    auto busy = fixture{false};
    auto number = std::uint64_t{0};
    // Broken streams use up the budget.
    for (; number < 40; ++number) {
        busy.send_request(number + 1);
        busy.receive_headers(90);
        busy.end_attempt(forward_outcome::broken, "4");
    }
    const auto cancelled = busy.port_.cancelled_.size();
    busy.send_request(++number);
    busy.receive_headers(10);
    BOOST_TEST(busy.port_.cancelled_.size() == cancelled);
    BOOST_TEST(busy.port_.released_.back().value() == busy.port_.commands_.back().attempt_.value());
}

BOOST_AUTO_TEST_CASE(a_stream_that_may_not_be_repeated_is_kept_while_it_is_silent)
{
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{2};
    table->routes_ = {{.name_ = "inquiry",
                       .host_ = "h",
                       .path_prefix_ = "/",
                       .kind_ = state::request_kind::stream,
                       .time_limit_ = 20s,
                       .latency_objective_ = 2s,
                       .max_attempts_ = 3,
                       .models_ = {state::model_name{"small"}, state::model_name{"large"}},
                       .targets_ = {{.service_ = service}}}};
    engine_.configure(table);
    send_request(1);
    receive_headers(10);
    BOOST_TEST(port_.cancelled_.empty());
    report_stall("3");
    BOOST_TEST(port_.cancelled_.empty());
    BOOST_TEST(port_.commands_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stalled_stream_is_kept_while_no_other_endpoint_is_listed)
{
    engine_.update_endpoints({{.id_ = state::endpoint_id{"e1"}, .service_ = service, .slots_ = 8}});
    send_request(1);
    receive_headers(90);
    report_stall("3");
    BOOST_TEST(port_.cancelled_.empty());
    BOOST_TEST(port_.refusals_.empty());
    end_attempt(forward_outcome::complete, "9");
    BOOST_TEST(port_.finished_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_attempt_is_kept_while_no_other_endpoint_is_listed)
{
    engine_.update_endpoints({{.id_ = state::endpoint_id{"e1"}, .service_ = service, .slots_ = 8}});
    send_request(1);
    wait(1300ms);
    engine_.tick();
    BOOST_TEST(port_.cancelled_.empty());
    BOOST_TEST(port_.refusals_.empty());
}

BOOST_AUTO_TEST_CASE(endpoints_that_are_not_reached_use_up_no_attempt)
{
    send_request(1);
    for (auto i = 0; i < 4; ++i)
        end_attempt(forward_outcome::not_sent);
    BOOST_TEST(port_.commands_.size() == 5U);
    BOOST_TEST(port_.refusals_.empty());
}

BOOST_AUTO_TEST_CASE(a_late_attempt_is_abandoned_for_another_endpoint_while_others_are_in_time)
{
    send_request(1);
    wait(1100ms);
    engine_.tick();
    BOOST_TEST(port_.commands_.size() == 1U);
    wait(200ms);
    engine_.tick();
    BOOST_TEST(port_.cancelled_.size() == 1U);
    BOOST_TEST(port_.commands_.size() == 2U);
}

/// Load pattern: prompt lengths vary by a factor of ten, and the longest prompts alone take most of the
/// latency objective.
BOOST_AUTO_TEST_CASE(a_long_prompt_is_not_abandoned_for_the_time_that_it_needs)
{
    // The endpoints need 50 ms for 1000 tokens.
    for (auto number = 1U; number <= 3; ++number) {
        send_request(number, "", 1000);
        wait(50ms);
        receive_headers(90);
        end_attempt(forward_outcome::complete, "9");
    }
    send_request(4, "", 20'000);
    wait(1500ms);
    engine_.tick();
    BOOST_TEST(port_.cancelled_.empty());
    wait(2000ms);
    engine_.tick();
    BOOST_TEST(port_.cancelled_.size() == 1U);
}

/// Load pattern: the queueing delay of the largest model is as long as the latency objective.
BOOST_AUTO_TEST_CASE(a_poor_answer_is_given_out_when_a_better_one_would_be_late)
{
    send_request(1);
    receive_headers(10);
    wait(1900ms);
    receive_headers(90);
    end_attempt(forward_outcome::complete, "9");
    BOOST_REQUIRE(port_.commands_.size() == 2U);
    send_request(2);
    receive_headers(10);
    BOOST_TEST(port_.commands_.size() == 3U);
    BOOST_TEST(port_.released_.size() == 1U);
}

/// Load pattern: the first seconds after a start, before any response of the largest model was observed.
BOOST_AUTO_TEST_CASE(the_first_long_prompts_do_not_all_go_to_the_largest_model)
{
    // The largest model needs longer than the objective for 60,000 tokens.
    send_request(1, "", 60'000);
    receive_headers(10);
    BOOST_TEST(port_.commands_.size() == 1U);
    BOOST_TEST(port_.released_.size() == 1U);
    send_request(2, "", 4000);
    receive_headers(10);
    BOOST_TEST(port_.commands_.back().model_.text() == "large");
}

/// Prompt lengths come from callers and cannot be trusted; sums of them must not overflow.
BOOST_AUTO_TEST_CASE(absurd_lengths_break_nothing)
{
    const auto most = std::numeric_limits<std::int64_t>::max();
    const auto least = std::numeric_limits<std::int64_t>::min();
    auto handle = std::uint64_t{0};
    for (const auto length : {most, least, most / 60'000, std::int64_t{-1}, std::int64_t{0}}) {
        for (const auto part : {most, least, std::int64_t{-1}, std::int64_t{1000}}) {
            const auto parts =
                std::vector<forwarding::prompt_part>{{.id_ = "shared", .tokens_ = state::token_count{part}},
                                                     {.id_ = "own", .tokens_ = state::token_count{part}}};
            send_request(++handle, "", length, parts);
            const auto reported = engine_.share_work().own_;
            // The first length is clamped to the maximum; its work is forecast with the default token time.
            BOOST_REQUIRE((handle > 1 || reported.size() == 1U));
            for (const auto& item : reported)
                BOOST_TEST((item.pending_ > 0min && item.pending_ <= 10min));
            receive_headers(10);
            receive_headers(90);
            end_attempt(forward_outcome::complete, "9");
        }
    }
    BOOST_TEST(port_.finished_.size() == handle);
    BOOST_TEST(engine_.share_work().all_.empty());
}

BOOST_AUTO_TEST_CASE(a_session_keeps_its_version_from_the_end_of_a_long_request)
{
    const auto order = std::vector<state::staged_roll_out>{
        {.service_ = service, .target_ = state::version_name{"v2"}, .time_allowed_ = 60s}};
    const auto is_new = [](const fixture& where) {
        const auto& id = where.port_.commands_.back().endpoint_.text();
        return id == "e5" || id == "e6";
    };
    // Finds a session that is assigned to the new version unless a pin keeps it on the old one.
    auto other = fixture{};
    other.engine_.update_roll_outs(order);
    auto number = std::uint64_t{0};
    const auto send_another = [&] {
        ++number;
        other.send_request(number, "s" + std::to_string(number));
        other.end_attempt(forward_outcome::complete, "9");
    };
    send_another();
    while (!is_new(other))
        send_another();
    const auto session = "s" + std::to_string(number);

    send_request(1, session);
    BOOST_TEST(!is_new(*this));
    engine_.update_roll_outs(order);
    // The request lasts longer than the session lifetime.
    wait(9s);
    engine_.tick();
    end_attempt(forward_outcome::complete, "9");
    wait(4s);
    engine_.tick();
    send_request(2, session);
    BOOST_TEST(!is_new(*this));
}

BOOST_AUTO_TEST_CASE(an_instance_that_may_have_missed_a_change_refuses_nothing_for_good)
{
    const auto send_unrouted = [this](std::uint64_t handle) {
        engine_.arrive(state::request_handle{handle},
                       {.id_ = state::request_id{"r"}, .host_ = "other", .path_ = "/"});
        return port_.refusals_.back().kind_;
    };
    BOOST_CHECK(send_unrouted(1) == state::error_kind::no_configuration);
    engine_.set_fresh(true);
    BOOST_CHECK(send_unrouted(2) == state::error_kind::not_found);
}

BOOST_AUTO_TEST_CASE(an_instance_is_ready_once_it_knows_configuration_endpoints_and_roll_outs)
{
    BOOST_TEST(!engine_.is_ready());
    engine_.update_roll_outs({});
    BOOST_TEST(engine_.is_ready());
    engine_.begin_stop();
    BOOST_TEST(!engine_.is_ready());
}

BOOST_AUTO_TEST_CASE(requests_that_outlast_a_stop_are_refused_by_what_they_did)
{
    set_route(state::request_kind::non_idempotent, false);
    // More than can run at the same time.
    for (auto handle = 1U; handle <= 100; ++handle)
        send_request(handle);
    const auto running = port_.commands_.size();
    const auto unfinished = engine_.size();
    BOOST_REQUIRE(running > 0U);
    BOOST_REQUIRE(unfinished > running);
    engine_.begin_stop();
    wait(2s);
    port_.refusals_.clear();
    engine_.end_stop();
    BOOST_TEST(engine_.size() == 0U);
    BOOST_TEST(port_.refusals_.size() == unfinished);
    BOOST_TEST(port_.cancelled_.size() == running);
    const auto count = [&](state::error_kind kind, coordination::routing::run_state run) {
        return static_cast<std::size_t>(std::ranges::count_if(port_.refusals_, [&](const auto& refusal) {
            return refusal.kind_ == kind && refusal.run_ == run;
        }));
    };
    using coordination::routing::run_state;
    BOOST_TEST(count(state::error_kind::outcome_unknown, run_state::unknown) == running);
    BOOST_TEST(count(state::error_kind::shutting_down, run_state::not_run) == unfinished - running);
}

/// The stream at the leaving endpoint runs on; first attempts, escalations, retries and resumptions avoid it.
BOOST_AUTO_TEST_CASE(an_endpoint_that_announces_its_shutdown_gets_nothing_new)
{
    send_request(1);
    const auto running = port_.commands_.back();
    receive_notice({.is_leaving_ = true});
    receive_notice({.is_leaving_ = true});
    BOOST_REQUIRE(port_.announced_.size() == 1U);
    BOOST_TEST(port_.announced_.front().endpoint_ == running.endpoint_);
    // Few enough streams break that the retry budget lasts.
    for (auto handle = 2U; handle < 200; ++handle) {
        send_request(handle);
        receive_headers(handle % 2 == 0 ? 10 : 90);
        if (handle % 6 == 0)
            end_attempt(forward_outcome::broken, "3");
        end_attempt(forward_outcome::complete, "9");
    }
    const auto is_escalation = [](const auto& command) { return command.model_.text() == "large"; };
    const auto is_resumption = [](const auto& command) { return !command.resume_after_.empty(); };
    BOOST_TEST(std::ranges::count_if(port_.commands_, is_escalation) >= 20);
    BOOST_TEST(std::ranges::count_if(port_.commands_, is_resumption) >= 20);
    for (auto index = std::size_t{1}; index < port_.commands_.size(); ++index)
        BOOST_TEST(port_.commands_[index].endpoint_.text() != running.endpoint_.text());
    BOOST_TEST(std::ranges::count(port_.cancelled_, running.attempt_) == 0);
    engine_.response_headers_received({.attempt_ = running.attempt_, .confidence_ = 90});
    engine_.attempt_ended(
        {.attempt_ = running.attempt_, .outcome_ = forward_outcome::complete, .last_event_ = "9"});
    BOOST_TEST(std::ranges::count(port_.finished_, running.attempt_) == 1);
}

/// The 503 does not say that the request has not run, so it is a failed attempt; but neither the endpoint's
/// health nor its version is worse for it.
BOOST_AUTO_TEST_CASE(an_endpoint_that_asks_for_a_pause_gets_nothing_until_its_end)
{
    send_request(1);
    const auto pausing = port_.commands_.back().endpoint_;
    receive_notice({.pause_ = 2s});
    end_paused(forward_outcome::failed);
    BOOST_TEST(port_.commands_.size() == 2U);
    for (auto handle = 2U; handle < 80; ++handle) {
        wait(25ms);
        send_request(handle);
        receive_headers(handle % 2 == 0 ? 10 : 90);
        end_attempt(forward_outcome::broken, "3");
        end_attempt(forward_outcome::complete, "9");
    }
    const auto is_pausing = [&](const auto& command) { return command.endpoint_ == pausing; };
    BOOST_TEST(std::ranges::count_if(port_.commands_, is_pausing) == 1);
    // After the pause and its spread the endpoint gets requests again.
    wait(1s);
    for (auto handle = 80U; handle < 140; ++handle) {
        send_request(handle);
        receive_headers(90);
        end_attempt(forward_outcome::complete, "9");
    }
    BOOST_TEST(std::ranges::count_if(port_.commands_, is_pausing) > 1);
}

/// Guards against the 503 of the last endpoint for a stream of which an earlier attempt has run.
BOOST_AUTO_TEST_CASE(a_stream_that_may_have_run_is_not_refused_as_not_run)
{
    send_request(1);
    receive_headers(90);
    end_attempt(forward_outcome::broken);
    end_attempt(forward_outcome::broken);
    BOOST_REQUIRE(port_.commands_.size() == 3U);
    engine_.attempt_ended({.attempt_ = port_.commands_.back().attempt_,
                           .outcome_ = forward_outcome::failed,
                           .has_asked_for_pause_ = true,
                           .promises_not_run_ = true});
    BOOST_TEST(port_.finished_.empty());
    BOOST_REQUIRE(port_.refusals_.size() == 1U);
    BOOST_CHECK(port_.refusals_.front().run_ == coordination::routing::run_state::unknown);
}

// Callers were told that a request had not run which the endpoint had run and failed.
BOOST_AUTO_TEST_CASE(a_failure_of_a_request_that_ran_promises_nothing)
{
    for (const auto kind :
         {state::request_kind::non_idempotent, state::request_kind::stream, state::request_kind::safe}) {
        auto world = fixture{true};
        world.set_route(kind, false);
        world.send_request(1);
        BOOST_REQUIRE(world.port_.commands_.size() == 1U);
        world.engine_.attempt_ended({.attempt_ = world.port_.commands_.back().attempt_,
                                     .outcome_ = forward_outcome::failed,
                                     .promises_not_run_ = true});
        // What may be repeated gets the endpoint's own answer.
        const auto is_repeatable = kind == state::request_kind::safe;
        BOOST_TEST(world.port_.finished_.size() == (is_repeatable ? 1U : 0U));
        BOOST_REQUIRE(world.port_.refusals_.size() == (is_repeatable ? 0U : 1U));
        if (is_repeatable)
            continue;
        BOOST_CHECK(world.port_.refusals_.front().run_ == coordination::routing::run_state::unknown);
        BOOST_CHECK(world.port_.refusals_.front().kind_ == state::error_kind::endpoint_failed);
    }
}

BOOST_AUTO_TEST_CASE(a_pause_is_no_evidence_against_a_version)
{
    engine_.update_roll_outs(
        {{.service_ = service, .target_ = state::version_name{"v2"}, .time_allowed_ = 60s}});
    const auto evidence = [this] {
        return engine_.roll_outs()
            .report(forwarding::report_scope::own, state::incarnation{1}, clock_.now())
            .counts_.size();
    };
    send_request(1);
    receive_notice({.pause_ = 1s});
    end_paused(forward_outcome::failed);
    BOOST_TEST(evidence() == 0U);
    end_attempt(forward_outcome::failed);
    BOOST_TEST(evidence() == 1U);
}

BOOST_AUTO_TEST_CASE(callers_are_refused_at_once_while_all_endpoints_pause)
{
    // The first request is sent to three of the four endpoints, the second one to the last.
    for (auto asked = 1U; asked <= 4; ++asked) {
        if (asked == 1 || asked == 4)
            send_request(asked);
        receive_notice({.pause_ = asked == 1 ? 3s : 8s});
        end_paused(forward_outcome::declined);
    }
    BOOST_REQUIRE(port_.commands_.size() == 4U);
    for (auto handle = 10U; handle < 20; ++handle)
        send_request(handle);
    BOOST_TEST(port_.commands_.size() == 4U);
    BOOST_REQUIRE(port_.refusals_.size() == 12U);
    auto times = std::set<state::duration>{};
    for (auto index = std::size_t{1}; index < port_.refusals_.size(); ++index) {
        const auto& refusal = port_.refusals_[index];
        BOOST_CHECK(refusal.run_ == coordination::routing::run_state::not_run);
        BOOST_TEST((refusal.retry_after_ >= 3s && refusal.retry_after_ < 5s));
        times.insert(refusal.retry_after_);
    }
    BOOST_TEST(times.size() > 8U);
}

/// The caller left, but the headers were already on their way to the engine.
BOOST_AUTO_TEST_CASE(the_notice_in_an_abandoned_answer_counts)
{
    send_request(1);
    engine_.caller_left(state::request_handle{1});
    receive_notice({.is_leaving_ = true});
    BOOST_TEST(port_.announced_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(work_of_a_caller_that_left_is_cancelled)
{
    send_request(1);
    engine_.caller_left(state::request_handle{1});
    BOOST_TEST(port_.cancelled_.size() == 1U);
    BOOST_TEST(engine_.size() == 0U);
    end_attempt(forward_outcome::complete, "9");
    BOOST_TEST(port_.finished_.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

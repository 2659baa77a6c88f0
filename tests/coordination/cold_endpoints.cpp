#include "coordination/forwarding/cold_endpoints.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/forward_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

const auto service = state::service_name{"advice"};
constexpr auto cold_start = state::cold_start{.time_ = 3s, .rate_ = 6.0};
constexpr auto start = state::time_point{100s};

auto listed(std::uint64_t incarnation, std::optional<state::duration> cold_left = std::nullopt)
    -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{"e1"},
            .service_ = service,
            .data_centre_ = state::data_centre_id{"north"},
            .version_ = state::version_name{"v1"},
            .slots_ = 8,
            .incarnation_ = incarnation,
            .cold_left_ = cold_left,
            .entry_revision_ = incarnation};
}

/// Instances that each send a cold endpoint all that they may.
class greedy_instances {
public:
    greedy_instances(std::size_t count, std::uint64_t seed, double rate) : random_{seed}, rate_{rate}
    {
        for (auto number = std::size_t{0}; number < count; ++number)
            names_.emplace_back("front-" + std::to_string(number));
        for (auto number = std::size_t{0}; number < count; ++number) {
            instances_.push_back(make(number));
            // News of the entry reaches the instances up to half a second apart.
            learns_at_.push_back(start + state::duration{static_cast<std::int64_t>(random_.below(500'000))});
        }
    }

    /// The most requests within any second in which the endpoint is cold.
    auto most_in_a_second(bool has_restarts) -> std::size_t
    {
        auto recent = std::deque<state::time_point>{};
        auto most = std::size_t{0};
        for (auto now = start; now < start + cold_start.time_; now += 5ms) {
            if (has_restarts && random_.chance(0.005)) {
                const auto number = random_.below(instances_.size());
                instances_[number] = make(number);
                learns_at_[number] = now + 200ms;
            }
            for (auto number = std::size_t{0}; number < instances_.size(); ++number) {
                auto& item = instances_[number];
                if (learns_at_[number] > now)
                    continue;
                if (!item.is_cold(listed(2), now))
                    item.record_listed(listed(2, cold_start.time_ - (now - start)), now);
                item.advance(now);
                while (item.next_request_at(listed(2), now) <= now) {
                    item.record_sent(listed(2), now);
                    recent.push_back(now);
                }
            }
            while (!recent.empty() && now - recent.front() >= 1s)
                recent.pop_front();
            most = std::max(most, recent.size());
        }
        return most;
    }

private:
    auto make(std::size_t number) -> forwarding::cold_endpoints
    {
        auto made = forwarding::cold_endpoints{};
        made.configure({{service, {.time_ = cold_start.time_, .rate_ = rate_}}}, start);
        made.set_instances(names_[number], names_, start);
        made.record_listed(listed(1, 0s), start);
        made.finish_listing();
        return made;
    }

    coordination::time::seeded_random random_;
    double rate_;
    std::vector<state::instance_id> names_;
    std::vector<forwarding::cold_endpoints> instances_;
    std::vector<state::time_point> learns_at_;
};

struct cold_fixture : world::forward_fixture {
    cold_fixture() : world::forward_fixture{false}
    {
        auto table = std::make_shared<state::routing_table>();
        table->generation_ = state::generation{2};
        table->routes_ = {{.name_ = "plain",
                           .host_ = "h",
                           .path_prefix_ = "/",
                           .kind_ = state::request_kind::safe,
                           .latency_objective_ = 2s,
                           .targets_ = {{.service_ = service}}}};
        table->cold_starts_[service] = cold_start;
        engine_.configure(table);
        engine_.update_instances({state::instance_id{""}});
    }

    /// Lists endpoints of two data centres, the south's being cold or not.
    auto list(std::uint64_t revision, state::duration cold_left) -> void
    {
        auto endpoints = std::vector<state::registered_endpoint>{};
        for (const auto* const name : {"north", "south"}) {
            for (auto number = 1; number <= 2; ++number) {
                auto endpoint = listed(1, std::string{name} == "south" ? cold_left : 0s);
                endpoint.id_ = state::endpoint_id{name + std::to_string(number)};
                endpoint.data_centre_ = state::data_centre_id{name};
                endpoint.entry_revision_ = revision;
                endpoints.push_back(endpoint);
            }
        }
        engine_.update_endpoints(endpoints);
    }

    /// The requests at endpoints of the south out of some that are sent at once.
    auto count_at_south(std::uint64_t first, std::uint64_t count) -> std::ptrdiff_t
    {
        const auto before = static_cast<std::ptrdiff_t>(port_.commands_.size());
        for (auto handle = first; handle < first + count; ++handle)
            send_request(handle);
        return std::count_if(
            port_.commands_.begin() + before, port_.commands_.end(),
            [](const auto& command) { return command.endpoint_.text().starts_with("south"); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_endpoints)

/// Load pattern: every instance has more requests for one cold endpoint than it bears from all of them.
BOOST_AUTO_TEST_CASE(all_instances_together_send_no_more_than_a_cold_endpoint_bears)
{
    for (auto seed = std::uint64_t{1}; seed <= 6; ++seed) {
        for (const auto count : {8U, 82U, 300U}) {
            for (const auto rate : {2.0, 6.1, 8.4}) {
                for (const auto has_restarts : {false, true}) {
                    const auto most = greedy_instances{count, seed, rate}.most_in_a_second(has_restarts);
                    // What the users' deployments tolerate of cold endpoints.
                    BOOST_TEST(static_cast<double>(most) <= 1.5 * rate + 5);
                    BOOST_TEST(most > 0U);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_entry_is_not_taken_for_news_again)
{
    auto cold = forwarding::cold_endpoints{};
    cold.configure({{service, cold_start}}, start);
    BOOST_TEST(cold.record_listed(listed(1, 1s), start));
    BOOST_TEST(!cold.record_listed(listed(1, 1s), start + 2s));
    BOOST_TEST(!cold.is_cold(listed(1), start + 2s));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_starts_under_traffic_is_cold_though_nobody_says_so)
{
    auto cold = forwarding::cold_endpoints{};
    cold.configure({{service, cold_start}}, start);
    // What runs when this instance starts is not taken for new.
    BOOST_TEST(!cold.record_listed(listed(1), start));
    cold.finish_listing();
    BOOST_TEST(cold.record_listed(listed(2), start));
    BOOST_TEST(cold.is_cold(listed(2), start + 2900ms));
    BOOST_TEST(!cold.is_cold(listed(2), start + 3s));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_turns_cold_again_is_cold_by_its_answer)
{
    auto cold = forwarding::cold_endpoints{};
    cold.configure({{service, cold_start}}, start);
    cold.record_listed(listed(1, 0s), start);
    BOOST_TEST(cold.record_stated(listed(1), 2s, start + 10s));
    BOOST_TEST(cold.is_cold(listed(1), start + 11s));
}

BOOST_AUTO_TEST_CASE(services_without_a_cold_rate_have_no_cold_endpoints)
{
    auto cold = forwarding::cold_endpoints{};
    BOOST_TEST(!cold.record_listed(listed(1, 5s), start));
    BOOST_TEST(!cold.record_stated(listed(1), 5s, start));
    BOOST_TEST(cold.is_empty());
}

/// An instance may read the endpoints before the configuration, and operators may add the rate under traffic.
BOOST_AUTO_TEST_CASE(endpoints_that_were_listed_before_the_rate_was_configured_are_as_cold_as_they_say)
{
    auto cold = forwarding::cold_endpoints{};
    auto warm = listed(1, 0s);
    warm.id_ = state::endpoint_id{"e2"};
    cold.record_listed(listed(1, 2s), start);
    cold.record_listed(warm, start);
    cold.finish_listing();
    cold.configure({{service, cold_start}}, start + 1s);
    BOOST_TEST(cold.is_cold(listed(1), start + 1500ms));
    BOOST_TEST(!cold.is_cold(listed(1), start + 2s));
    cold.record_listed(warm, start + 1s);
    BOOST_TEST(!cold.is_cold(warm, start + 1s));
}

/// The cached prompts are gone, so the load comes back by steps.
BOOST_AUTO_TEST_CASE(the_rate_rises_by_steps_after_the_cold_time)
{
    auto cold = forwarding::cold_endpoints{};
    cold.configure({{service, cold_start}}, start);
    cold.set_instances(state::instance_id{"i"}, {state::instance_id{"i"}}, start);
    cold.record_listed(listed(1, 1s), start);
    auto sent = std::vector<int>(6);
    for (auto now = start; now < start + 6s; now += 5ms) {
        cold.advance(now);
        for (auto tries = 0; tries < 2 && cold.next_request_at(listed(1), now) <= now; ++tries) {
            cold.record_sent(listed(1), now);
            ++sent[static_cast<std::size_t>((now - start) / 1s)];
        }
    }
    BOOST_TEST(sent[0] <= 6);
    BOOST_TEST(sent[1] > sent[0]);
    BOOST_TEST(sent[2] > sent[1]);
    BOOST_TEST(sent[3] > sent[2]);
    // Nothing holds requests back any more.
    BOOST_TEST(sent[5] == 400);
    BOOST_TEST(cold.is_empty());
}

/// Load pattern: a data centre comes back cold during a burst.
BOOST_FIXTURE_TEST_CASE(a_burst_meets_the_endpoints_that_are_not_cold, cold_fixture)
{
    list(1, 0s);
    list(2, 3s);
    wait(400ms);
    BOOST_TEST(count_at_south(1, 100) <= 4);
    BOOST_TEST(port_.commands_.size() == 100U);
    BOOST_TEST(port_.refusals_.empty());
}

/// The platform may empty a data centre and give it back cold before the entries say so.
BOOST_FIXTURE_TEST_CASE(the_endpoints_of_a_data_centre_that_is_given_back_are_cold, cold_fixture)
{
    list(1, 0s);
    engine_.update_emptied_data_centres({state::data_centre_id{"south"}});
    wait(2s);
    BOOST_TEST(count_at_south(1, 20) == 0);
    engine_.update_emptied_data_centres({});
    BOOST_TEST(count_at_south(101, 50) <= 4);
    BOOST_TEST(engine_.endpoint_counts().cold_ == 2U);
}

/// Load pattern: each endpoint of a service is cold, as after the loss of power of all data centres.
BOOST_FIXTURE_TEST_CASE(what_cold_endpoints_do_not_take_is_refused_with_a_time_to_return, cold_fixture)
{
    engine_.update_endpoints({listed(1, 3s)});
    wait(300ms);
    for (auto handle = std::uint64_t{1}; handle <= 40; ++handle)
        send_request(handle);
    for (auto ticks = 0; ticks < 50; ++ticks) {
        wait(20ms);
        engine_.tick();
    }
    BOOST_TEST(port_.commands_.size() <= 14U);
    BOOST_TEST(port_.commands_.size() + port_.refusals_.size() == 40U);
    for (const auto& refusal : port_.refusals_)
        BOOST_TEST(refusal.retry_after_ > 0ms);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

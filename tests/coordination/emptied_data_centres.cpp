#include "world/forward_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

/// An engine whose endpoints stand in two data centres.
struct two_data_centres : world::forward_fixture {
    two_data_centres() : world::forward_fixture{false}
    {
        list();
        engine_.update_roll_outs({});
    }

    auto list() -> void
    {
        auto endpoints = std::vector<state::registered_endpoint>{};
        for (const auto* const name : {"north", "south"}) {
            for (auto number = 1; number <= 3; ++number)
                endpoints.push_back({.id_ = state::endpoint_id{name + std::to_string(number)},
                                     .service_ = service_,
                                     .data_centre_ = state::data_centre_id{name},
                                     .version_ = state::version_name{"v1"},
                                     .slots_ = 8});
        }
        engine_.update_endpoints(endpoints);
    }

    auto empty(const std::vector<std::string>& names) -> void
    {
        auto data_centres = std::set<state::data_centre_id>{};
        for (const auto& name : names)
            data_centres.insert(state::data_centre_id{name});
        engine_.update_emptied_data_centres(std::move(data_centres));
    }

    static auto is_in(const state::endpoint_id& endpoint, const std::string& data_centre) -> bool
    {
        return endpoint.text().starts_with(data_centre);
    }

    /// Whether one of the commands from a position on goes to the data centre.
    auto has_command_to(const std::string& data_centre, std::size_t from = 0) const -> bool
    {
        return std::any_of(port_.commands_.begin() + static_cast<std::ptrdiff_t>(from), port_.commands_.end(),
                           [&](const auto& command) { return is_in(command.endpoint_, data_centre); });
    }

    /// Sends requests until one goes to the data centre, which is the last one.
    auto send_until_one_goes_to(const std::string& data_centre) -> void
    {
        for (auto handle = std::uint64_t{1}; handle <= 100; ++handle) {
            send_request(handle);
            if (is_in(port_.commands_.back().endpoint_, data_centre))
                return;
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(emptied_data_centres, two_data_centres)

BOOST_AUTO_TEST_CASE(new_requests_go_elsewhere_and_come_back)
{
    empty({"south"});
    for (auto handle = std::uint64_t{1}; handle <= 40; ++handle)
        send_request(handle, "", 1000,
                     {{.id_ = "p" + std::to_string(handle), .tokens_ = state::token_count{800}},
                      {.id_ = "own", .tokens_ = state::token_count{200}}});
    BOOST_TEST(!has_command_to("south"));
    BOOST_TEST(port_.commands_.size() == 40U);
    empty({});
    for (auto handle = std::uint64_t{101}; handle <= 140; ++handle)
        send_request(handle, "", 1000,
                     {{.id_ = "p" + std::to_string(handle), .tokens_ = state::token_count{800}},
                      {.id_ = "own", .tokens_ = state::token_count{200}}});
    BOOST_TEST(has_command_to("south", 40));
}

BOOST_AUTO_TEST_CASE(the_rest_of_a_stream_and_larger_models_go_elsewhere)
{
    send_until_one_goes_to("south");
    const auto before = port_.commands_.size();
    empty({"south"});
    // An answer that is not good enough is asked for again of a larger model.
    receive_headers(5);
    BOOST_REQUIRE(port_.commands_.size() == before + 1);
    BOOST_TEST(!has_command_to("south", before));
    receive_headers(90);
    end_attempt(forward_outcome::broken, "3");
    BOOST_REQUIRE(port_.commands_.size() == before + 2);
    BOOST_TEST(!has_command_to("south", before));
}

BOOST_AUTO_TEST_CASE(what_runs_there_goes_on)
{
    send_until_one_goes_to("south");
    empty({"south"});
    BOOST_TEST(engine_.endpoint_counts().running_at_emptied_ > 0U);
    receive_headers(90);
    end_attempt(forward_outcome::complete, "9");
    BOOST_TEST(port_.cancelled_.empty());
    BOOST_TEST(port_.finished_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(endpoints_of_emptied_data_centres_are_not_probed)
{
    send_until_one_goes_to("south");
    const auto lost = port_.commands_.back().endpoint_;
    end_attempt(forward_outcome::not_sent);
    empty({"south"});
    port_.probed_.clear();
    for (auto ticks = 0; ticks < 200; ++ticks) {
        wait(20ms);
        engine_.tick();
    }
    BOOST_TEST(std::ranges::none_of(port_.probed_, [](const auto& id) { return is_in(id, "south"); }));
    empty({});
    wait(20ms);
    engine_.tick();
    BOOST_TEST((std::ranges::find(port_.probed_, lost) != port_.probed_.end()));
}

BOOST_AUTO_TEST_CASE(with_every_data_centre_emptied_callers_are_told_at_once_when_to_return)
{
    empty({"north", "south"});
    send_request(1);
    BOOST_TEST(port_.commands_.empty());
    BOOST_REQUIRE(port_.refusals_.size() == 1U);
    BOOST_TEST((port_.refusals_.back().kind_ == state::error_kind::no_capacity));
    BOOST_TEST((port_.refusals_.back().run_ == coordination::routing::run_state::not_run));
    BOOST_TEST(port_.refusals_.back().retry_after_ > 0ms);
}

BOOST_AUTO_TEST_CASE(unknown_data_centres_change_nothing)
{
    empty({"", "west"});
    for (auto handle = std::uint64_t{1}; handle <= 40; ++handle)
        send_request(handle);
    BOOST_TEST(has_command_to("north"));
    BOOST_TEST(has_command_to("south"));
}

BOOST_AUTO_TEST_CASE(an_instance_is_not_ready_before_it_knows_what_is_emptied)
{
    auto starting = forwarding::forward_engine<world::virtual_clock, coordination::time::seeded_random,
                                               world::recording_forward_port>{
        clock_, random_, port_, forwarding::forward_settings{.follows_emptying_ = true}};
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{1};
    starting.configure(table);
    starting.update_endpoints({});
    starting.update_roll_outs({});
    BOOST_TEST(!starting.is_ready());
    starting.update_emptied_data_centres({});
    BOOST_TEST(starting.is_ready());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

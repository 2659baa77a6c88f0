#include "coordination/admission/waiting_line.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/forward_fixture.hpp"
#include "world/scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace admission = coordination::admission;
using admission::line_order;
using admission::waiting_line;

constexpr auto start = state::time_point{100s};

auto request(std::uint64_t handle, const std::string& workspace, std::int32_t priority = 1,
             state::duration work = 10ms) -> admission::waiting_request
{
    return {.handle_ = state::request_handle{handle},
            .workspace_ = state::workspace_id{workspace},
            .priority_ = priority,
            .work_ = work};
}

/// Takes all requests in order.
auto take_all(waiting_line& line) -> std::vector<std::uint64_t>
{
    auto taken = std::vector<std::uint64_t>{};
    while (const auto handle = line.first()) {
        taken.push_back(handle->value());
        line.take(*handle, start);
    }
    return taken;
}

/// A line through which forty requests a second start, and callers that are turned away and return.
class busy_line {
public:
    busy_line(line_order order, bool reserves_returns) : line_{order}, reserves_returns_{reserves_returns} {}

    struct workspace_result {
        int asked_{0};
        int started_{0};
        int refused_{0};
    };

    /// Lets a workspace send this many requests a second for some time.
    auto add_workspace(const std::string& name, double rate, state::duration time) -> void
    {
        const auto gap = state::duration{static_cast<std::int64_t>(1e6 / rate)};
        const auto offset = state::duration{
            static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(gap.count())))};
        for (auto when = offset; when < time; when += gap)
            time_.after(when, [this, name] {
                ++results_[name].asked_;
                arrive(name, time_.now() + 9s);
            });
    }

    auto run(state::duration time) -> std::map<std::string, workspace_result>
    {
        schedule_start();
        time_.run_until(time_.now() + time);
        return results_;
    }

private:
    auto arrive(const std::string& workspace, state::time_point deadline) -> void
    {
        const auto handle = ++last_handle_;
        line_.push(request(handle, workspace), time_.now());
        workspaces_[handle] = workspace;
        const auto wait = line_.expected_wait(state::request_handle{handle}, time_.now());
        if (wait && *wait > max_wait)
            refuse(handle, deadline);
        else
            time_.after(max_wait, [this, handle, deadline] {
                if (line_.contains(state::request_handle{handle}))
                    refuse(handle, deadline);
            });
    }

    auto refuse(std::uint64_t handle, state::time_point deadline) -> void
    {
        const auto workspace = workspaces_.at(handle);
        ++results_[workspace].refused_;
        line_.remove(state::request_handle{handle});
        const auto usual = state::duration{300'000 + static_cast<std::int64_t>(random_.below(500'000))};
        const auto max_delay = (deadline - time_.now()) / 3;
        auto pause = std::min(usual, max_delay);
        if (reserves_returns_) {
            const auto place = line_.reserve_return(max_delay, time_.now());
            if (place > 0ms)
                pause = place < max_delay ? place
                                          : std::chrono::duration_cast<state::duration>(
                                                max_delay * (0.5 + 0.5 * random_.unit()));
        }
        if (time_.now() + pause + 500ms < deadline)
            time_.after(pause, [this, workspace, deadline] { arrive(workspace, deadline); });
    }

    auto schedule_start() -> void
    {
        time_.after(25ms, [this] {
            if (const auto handle = line_.first()) {
                ++results_[workspaces_.at(handle->value())].started_;
                line_.take(*handle, time_.now());
            }
            schedule_start();
        });
    }

    static constexpr state::duration max_wait{250ms};
    world::scheduler time_;
    coordination::time::seeded_random random_{3};
    waiting_line line_;
    bool reserves_returns_;
    std::uint64_t last_handle_{0};
    std::map<std::uint64_t, std::string> workspaces_;
    std::map<std::string, workspace_result> results_;
};

/// The least part of its requests that one of the ordinary workspaces got through the line.
auto least_served(line_order order, double rate_of_hot) -> double
{
    auto busy = busy_line{order, true};
    for (auto number = 0; number < 22; ++number)
        busy.add_workspace("w" + std::to_string(number), 1.2, 20s);
    for (const auto* const name : {"hot-1", "hot-2"})
        busy.add_workspace(name, rate_of_hot, 20s);
    const auto results = busy.run(31s);
    auto least = 1.0;
    for (const auto& [name, result] : results) {
        if (!name.starts_with("hot"))
            least = std::min(least, static_cast<double>(result.started_) / result.asked_);
    }
    return least;
}

} // namespace

BOOST_AUTO_TEST_SUITE(waiting_line)

BOOST_AUTO_TEST_CASE(the_more_urgent_start_first_and_equals_by_arrival)
{
    auto line = admission::waiting_line{line_order::by_arrival};
    line.push(request(1, "a", 2), start);
    line.push(request(2, "a", 0), start);
    line.push(request(3, "b", 2), start);
    line.push(request(4, "a", 0), start);
    BOOST_TEST(take_all(line) == (std::vector<std::uint64_t>{2, 4, 1, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(workspaces_take_turns_by_the_time_that_their_requests_need)
{
    auto line = admission::waiting_line{line_order::by_workspace};
    for (auto handle = std::uint64_t{1}; handle <= 4; ++handle)
        line.push(request(handle, "a"), start);
    line.push(request(5, "b", 1, 20ms), start);
    line.push(request(6, "b", 1, 20ms), start);
    BOOST_TEST(take_all(line) == (std::vector<std::uint64_t>{1, 5, 2, 3, 6, 4}),
               boost::test_tools::per_element());
}

/// A workspace that comes late does not get what it left unused before.
BOOST_AUTO_TEST_CASE(a_workspace_that_returns_has_no_claim_to_the_past)
{
    auto line = admission::waiting_line{line_order::by_workspace};
    for (auto handle = std::uint64_t{1}; handle <= 10; ++handle)
        line.push(request(handle, "a"), start);
    for (auto handle = std::uint64_t{1}; handle <= 5; ++handle)
        line.take(state::request_handle{handle}, start);
    for (auto handle = std::uint64_t{11}; handle <= 14; ++handle)
        line.push(request(handle, "b"), start);
    const auto taken = take_all(line);
    BOOST_TEST(taken.size() == 9U);
    BOOST_TEST(std::count_if(taken.begin(), taken.begin() + 4, [](auto handle) { return handle > 10; }) <= 3);
}

BOOST_AUTO_TEST_CASE(requests_that_leave_are_forgotten)
{
    auto line = admission::waiting_line{line_order::by_workspace};
    line.push(request(1, "a"), start);
    line.push(request(2, "b"), start);
    BOOST_TEST((line.after(state::request_handle{1}) == state::request_handle{2}));
    line.remove(state::request_handle{1});
    line.remove(state::request_handle{1});
    BOOST_TEST((line.first() == state::request_handle{2}));
    BOOST_TEST(!line.after(state::request_handle{2}).has_value());
    line.remove(state::request_handle{2});
    BOOST_TEST(line.is_empty());
}

/// Load pattern: two workspaces send 24 times their usual. The target is that the others are served as on a
/// calm day, within 0.02.
BOOST_AUTO_TEST_CASE(two_hot_workspaces_take_nothing_from_the_others)
{
    const auto calm = least_served(line_order::by_workspace, 1.2);
    BOOST_TEST(least_served(line_order::by_arrival, 28.8) < calm - 0.02);
    BOOST_TEST(least_served(line_order::by_workspace, 28.8) >= calm - 0.02);
}

/// Load pattern: three hundred requests arrive within half a second where forty a second start, and those
/// that are turned away return.
BOOST_AUTO_TEST_CASE(callers_return_as_room_appears)
{
    auto refused = std::map<bool, int>{};
    auto started = std::map<bool, int>{};
    for (const auto reserves_returns : {false, true}) {
        auto busy = busy_line{line_order::by_workspace, reserves_returns};
        busy.add_workspace("wave", 600, 500ms);
        const auto result = busy.run(12s).at("wave");
        refused[reserves_returns] = result.refused_;
        started[reserves_returns] = result.started_;
    }
    BOOST_TEST_MESSAGE("refused " << refused[false] << " and " << refused[true] << ", started "
                                  << started[false] << " and " << started[true]);
    BOOST_TEST(refused[true] < refused[false] * 0.6);
    BOOST_TEST(started[true] >= started[false] * 0.95);
}

/// Load pattern: more requests than can start before their time in the line is over.
BOOST_AUTO_TEST_CASE(a_request_that_would_wait_too_long_is_known_at_once)
{
    auto line = admission::waiting_line{line_order::by_workspace};
    line.push(request(1, "a"), start - 1s);
    BOOST_TEST(!line.expected_wait(state::request_handle{1}, start).has_value());
    for (auto handle = std::uint64_t{2}; handle <= 41; ++handle) {
        line.push(request(handle, "a"), start);
        line.take(state::request_handle{handle}, start);
    }
    for (auto handle = std::uint64_t{42}; handle <= 81; ++handle)
        line.push(request(handle, "a"), start);
    BOOST_TEST((line.expected_wait(state::request_handle{81}, start) > 800ms));
    // A workspace with a single request does not wait behind all of another one's.
    line.push(request(82, "b"), start);
    BOOST_TEST((line.expected_wait(state::request_handle{82}, start) < 100ms));
    BOOST_TEST((line.reserve_return(5s, start) > 800ms));
    BOOST_TEST((line.reserve_return(100ms, start) == 100ms));
}

/// Load pattern: a moment's crowd at low load. How many requests came before tells nothing about the room.
BOOST_AUTO_TEST_CASE(nobody_is_turned_away_for_the_low_load_before)
{
    auto line = admission::waiting_line{line_order::by_workspace};
    for (auto handle = std::uint64_t{1}; handle <= 10; ++handle) {
        line.push(request(handle, "a"), start);
        line.take(state::request_handle{handle}, start);
    }
    line.push(request(11, "a"), start + 100ms);
    BOOST_TEST(!line.expected_wait(state::request_handle{11}, start + 100ms).has_value());
    BOOST_TEST(line.expected_wait(state::request_handle{11}, start + 500ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include "coordination/membership/currency.hpp"
#include "coordination/time/seeded_random.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

using namespace buckthorndale; // NOLINT: a test
namespace membership = coordination::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto max_delay = state::duration{seconds{2}};

auto at(state::duration time) -> state::time_point
{
    return state::time_point{seconds{100}} + time;
}

/// Instances that watch the store, share confirmations by datagrams, and have subscriptions that bring
/// nothing.
class watching_fleet {
public:
    explicit watching_fleet(std::size_t size)
        : copies_(size, {.position_ = {.era_ = state::store_era{1}, .revision_ = 1}, .fingerprint_ = 1}),
          found_at_(size)
    {
        for (auto i = std::size_t{0}; i < size; ++i) {
            instances_.emplace_back(membership::currency_limits{max_delay});
            instances_[i].confirm(at({}), copies_[i].position_, draw());
            schedule(i);
        }
    }

    /// Changes the object in the store at a time.
    auto change_at(state::duration time) -> void { changed_at_ = at(time); }

    auto run_until(state::duration end) -> void
    {
        while (!events_.empty() && events_.begin()->first <= at(end)) {
            const auto event = events_.begin()->second;
            now_ = events_.begin()->first;
            events_.erase(events_.begin());
            event();
        }
        now_ = at(end);
    }

    auto calls() const -> std::size_t { return calls_; }

    auto all_are_current() const -> bool
    {
        return std::ranges::all_of(instances_, [this](const auto& item) { return item.is_current(now_); });
    }

    auto latest_found() const -> state::time_point { return *std::ranges::max_element(found_at_); }

private:
    static constexpr auto round_trip = state::duration{milliseconds{8}};
    static constexpr auto datagram_delay = state::duration{milliseconds{1}};
    static constexpr auto lost_datagrams = 0.02;

    auto draw() -> double { return static_cast<double>(random_.next() % 1'000'000) / 1e6; }

    auto schedule(std::size_t i) -> void
    {
        const auto due = std::max(instances_[i].check_due(), now_ + milliseconds{1});
        events_.emplace(due, [this, i] { check_if_due(i); });
    }

    auto check_if_due(std::size_t i) -> void
    {
        if (instances_[i].check_due() > now_) {
            schedule(i);
            return;
        }
        ++calls_;
        const auto asked_at = now_;
        const auto has_change = changed_at_ && now_ + round_trip / 2 >= *changed_at_;
        events_.emplace(now_ + round_trip,
                        [this, i, asked_at, has_change] { answer(i, asked_at, has_change); });
    }

    auto answer(std::size_t i, state::time_point asked_at, bool has_change) -> void
    {
        if (has_change && copies_[i].fingerprint_ == 1) {
            copies_[i] = {.position_ = {.era_ = state::store_era{1}, .revision_ = 2}, .fingerprint_ = 2};
            found_at_[i] = now_;
        }
        instances_[i].confirm(asked_at, copies_[i].position_, draw());
        const auto heard = membership::confirmation{.position_ = copies_[i].position_,
                                                    .fingerprint_ = copies_[i].fingerprint_,
                                                    .age_ = now_ - asked_at};
        for (auto other = std::size_t{0}; other < instances_.size(); ++other) {
            if (other != i && draw() > lost_datagrams)
                events_.emplace(now_ + datagram_delay, [this, other, heard] {
                    instances_[other].hear(heard, copies_[other], now_, draw());
                });
        }
        schedule(i);
    }

    coordination::time::seeded_random random_{7};
    state::time_point now_{at({})};
    std::multimap<state::time_point, std::function<void()>> events_;
    std::vector<membership::currency> instances_;
    std::vector<membership::copy_state> copies_;
    std::vector<state::time_point> found_at_;
    std::optional<state::time_point> changed_at_;
    std::size_t calls_{0};
};

} // namespace

BOOST_AUTO_TEST_SUITE(currency)

/// Guards against a price of the bound that grows with the fleet.
BOOST_AUTO_TEST_CASE(the_calls_of_a_fleet_do_not_grow_with_its_size)
{
    constexpr auto time = seconds{100};
    // 9 instances watch in the smallest deployment; of 360 in 7 data centres, 21.
    for (const auto size : {std::size_t{1}, std::size_t{9}, std::size_t{21}}) {
        auto fleet = watching_fleet{size};
        fleet.run_until(time);
        BOOST_TEST_MESSAGE("instances that watch " << size << ", calls a second "
                                                   << static_cast<double>(fleet.calls()) / 100.0);
        BOOST_TEST(fleet.calls() <= 300U);
        BOOST_TEST(fleet.all_are_current());
    }
}

/// Guards against a change that is found late because another instance's confirmation postponed the check.
BOOST_AUTO_TEST_CASE(a_change_that_no_subscription_brings_is_found_in_time)
{
    for (auto offset = milliseconds{0}; offset < milliseconds{1000}; offset += milliseconds{13}) {
        auto fleet = watching_fleet{9};
        const auto changed = state::duration{seconds{5} + offset};
        fleet.change_at(changed);
        fleet.run_until(changed + max_delay);
        BOOST_TEST((fleet.latest_found() >= at(changed)));
        BOOST_TEST((fleet.latest_found() <= at(changed) + max_delay * 45 / 100 + milliseconds{60}));
    }
}

/// Guards against an instance that goes on taking its copy for current after its last confirmation.
/// Guards against a call of every watcher for each of hundreds of endpoints that register one by one.
BOOST_AUTO_TEST_CASE(changes_that_follow_each_other_are_fetched_together)
{
    constexpr auto endpoints = 240;
    constexpr auto start_time = state::duration{seconds{5}};
    for (const auto limit : {state::duration{seconds{2}}, state::duration{seconds{4}}}) {
        const auto limits = membership::currency_limits{limit};
        auto time = state::duration{0};
        auto calls = 0;
        auto longest_wait = state::duration{0};
        for (auto known = 0; known < endpoints; ++calls) {
            // The watch returns with the next change, and the pause follows.
            const auto next = start_time * known / endpoints;
            longest_wait = std::max(longest_wait, time - next);
            time = std::max(time, next);
            while (known < endpoints && start_time * known / endpoints <= time)
                ++known;
            time += limits.batching_delay();
        }
        BOOST_TEST_MESSAGE("limit " << limit.count() << " us: " << calls << " calls");
        BOOST_TEST(calls * limit <= 12 * start_time);
        BOOST_TEST((longest_wait <= limit / 8));
    }
}

BOOST_AUTO_TEST_CASE(a_copy_that_is_not_confirmed_is_not_current)
{
    auto copy = membership::currency{membership::currency_limits{max_delay}};
    BOOST_TEST(!copy.is_current(at({})));
    copy.confirm(at({}), {.era_ = state::store_era{1}, .revision_ = 1}, 0.5);
    BOOST_TEST(copy.is_current(at(milliseconds{1700})));
    BOOST_TEST(!copy.is_current(at(milliseconds{1701})));
    // An answer to an earlier read does not make it younger.
    copy.confirm(at(milliseconds{-500}), {.era_ = state::store_era{1}, .revision_ = 1}, 0.5);
    BOOST_TEST(!copy.is_current(at(milliseconds{1701})));
}

/// Guards against a copy that is confirmed by an instance with other objects, or by an old datagram.
BOOST_AUTO_TEST_CASE(a_confirmation_of_other_objects_confirms_nothing)
{
    using enum membership::confirmation_effect;
    const auto era = state::store_era{2};
    const auto own = membership::copy_state{.position_ = {.era_ = era, .revision_ = 10}, .fingerprint_ = 5};
    auto copy = membership::currency{membership::currency_limits{max_delay}};
    const auto hear = [&](std::uint64_t revision, std::uint64_t fingerprint, state::store_era stated,
                          state::duration age) {
        return copy.hear(
            {.position_ = {.era_ = stated, .revision_ = revision}, .fingerprint_ = fingerprint, .age_ = age},
            own, at(seconds{3}), 0.5);
    };
    BOOST_TEST((hear(11, 6, era, {}) == behind));
    BOOST_TEST((hear(9, 6, era, {}) == none));
    BOOST_TEST((hear(11, 5, state::store_era{1}, {}) == none));
    BOOST_TEST(!copy.is_current(at(seconds{3})));
    BOOST_TEST((hear(11, 5, era, seconds{1}) == confirmed));
    BOOST_TEST(copy.is_current(at(seconds{3})));
    BOOST_TEST(!copy.is_current(at(seconds{4})));
    BOOST_TEST(copy.checked().revision_ == 11U);
}

BOOST_AUTO_TEST_SUITE_END()

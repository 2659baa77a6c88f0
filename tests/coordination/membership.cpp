#include "coordination/membership/store_fallback.hpp"
#include "coordination/membership/store_watchers.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace buckthorndale::tests {

namespace {

using coordination::membership::listed_instance;
using coordination::membership::store_fallback;
using coordination::membership::store_watchers;

auto instance(int number, const std::string& data_centre) -> listed_instance
{
    return {.id_ = state::instance_id{data_centre + std::to_string(number)},
            .data_centre_ = state::data_centre_id{data_centre},
            .control_ = {.host_ = "10.0.0.1", .port_ = static_cast<std::uint16_t>(number)}};
}

auto fleet(int size) -> std::vector<listed_instance>
{
    auto instances = std::vector<listed_instance>{};
    for (auto number = 1; number <= size; ++number) {
        instances.push_back(instance(number, "north"));
        instances.push_back(instance(number, "south"));
    }
    return instances;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

BOOST_AUTO_TEST_CASE(an_instance_that_knows_no_other_watches_itself)
{
    BOOST_TEST(store_watchers{instance(1, "north")}.is_watcher());
}

BOOST_AUTO_TEST_CASE(three_of_each_data_centre_watch_and_the_others_ask_them)
{
    for (const auto size : {1, 2, 3, 4, 20, 60}) {
        auto watching = std::vector<state::network_address>{};
        auto asked = std::vector<state::network_address>{};
        for (auto number = 1; number <= size; ++number) {
            auto watchers = store_watchers{instance(number, "north")};
            watchers.update(fleet(size));
            BOOST_TEST(watchers.others().size() == static_cast<std::size_t>(2 * size - 1));
            if (watchers.is_watcher()) {
                watching.push_back(instance(number, "north").control_);
                continue;
            }
            BOOST_REQUIRE(watchers.sources().size() == 3U);
            for (const auto& source : watchers.sources())
                asked.push_back(source);
        }
        BOOST_TEST(watching.size() == static_cast<std::size_t>(std::min(size, 3)));
        for (const auto& source : asked)
            BOOST_TEST((std::ranges::find(watching, source) != watching.end()));
    }
}

BOOST_AUTO_TEST_CASE(an_instance_missing_in_the_list_counts_itself)
{
    auto watchers = store_watchers{instance(1, "north")};
    watchers.update({});
    BOOST_TEST(watchers.is_watcher());
    BOOST_TEST(watchers.others().empty());
}

BOOST_AUTO_TEST_CASE(the_best_links_watch)
{
    auto instances = fleet(20);
    for (auto& item : instances)
        item.link_mbps_ = item.control_.port_ % 5 == 0 ? 200 : 10;
    auto watchers = store_watchers{instances.front()};
    watchers.update(instances);
    BOOST_REQUIRE(watchers.sources().size() == 3U);
    for (const auto& source : watchers.sources())
        BOOST_TEST(source.port_ % 5 == 0);
}

/// Load pattern: 75 instances start, and their watchers get the first answer of the store after 0.7 s.
BOOST_AUTO_TEST_CASE(followers_leave_the_store_alone_while_the_watchers_start)
{
    const auto started = state::time_point{std::chrono::seconds{100}};
    const auto fallback = store_fallback{started};
    for (auto after = 0; after <= 1000; after += 50)
        BOOST_TEST(!fallback.may_ask_store(started + std::chrono::milliseconds{after}));
    // Without any watcher, an instance must still be ready within two seconds.
    BOOST_TEST(fallback.may_ask_store(started + std::chrono::milliseconds{1500}));
}

/// Load pattern: the store drops all watches at once, and the watchers reconnect after 0.3 s.
BOOST_AUTO_TEST_CASE(followers_leave_the_store_alone_while_the_watchers_come_back)
{
    const auto started = state::time_point{std::chrono::seconds{100}};
    auto fallback = store_fallback{started};
    // A long poll may have been waiting for a second when the watch breaks.
    const auto confirmed = started + std::chrono::seconds{5};
    fallback.watcher_confirmed(confirmed);
    for (auto after = 0; after <= 1300; after += 50)
        BOOST_TEST(!fallback.may_ask_store(confirmed + std::chrono::milliseconds{after}));
    // Changes must take effect within two seconds.
    BOOST_TEST(fallback.may_ask_store(confirmed + std::chrono::milliseconds{1900}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

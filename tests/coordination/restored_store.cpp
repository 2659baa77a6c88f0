#include "coordination/forwarding/endpoint_directory.hpp"
#include "coordination/forwarding/roll_out_directory.hpp"
#include "coordination/forwarding/service_roll_outs.hpp"
#include "coordination/membership/store_fallback.hpp"
#include "coordination/membership/store_read_pacing.hpp"
#include "coordination/membership/store_watchers.hpp"

#include <boost/test/unit_test.hpp>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;
using state::staged_roll_out_state;

const auto service = state::service_name{"advice"};
constexpr auto first_era = state::store_era{1};
constexpr auto second_era = state::store_era{2};

auto at(state::duration time) -> state::time_point
{
    return state::time_point{time};
}

auto order(state::store_era era, std::uint64_t created, staged_roll_out_state state,
           const std::string& target = "v2") -> state::staged_roll_out
{
    return {.service_ = service,
            .target_ = state::version_name{target},
            .time_allowed_ = 20s,
            .state_ = state,
            .era_ = era,
            .revision_ = created + 1,
            .created_ = created};
}

auto endpoint(const std::string& id, bool is_draining = false, std::uint64_t registered_at = 4)
    -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{id},
            .service_ = service,
            .is_draining_ = is_draining,
            .incarnation_ = 1'700'000'000'000,
            .registered_at_ = registered_at};
}

/// Whether new requests may go to the endpoint.
auto is_usable(const forwarding::endpoint_directory& directory, const std::string& id, state::time_point now)
    -> bool
{
    for (const auto& item : directory.current(now)) {
        if (item.id_.text() == id)
            return !item.is_draining_;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(restored_store)

BOOST_AUTO_TEST_CASE(a_version_that_was_rolled_back_is_not_exposed_again)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(first_era, 40, staged_roll_out_state::rolled_back)}, at(0s));
    // The operator writes the lost order again, which the restored store gives another number.
    for (const auto& again : {order(second_era, 30, staged_roll_out_state::ordered),
                              order(second_era, 30, staged_roll_out_state::running)}) {
        roll_outs.update({again}, at(2s));
        BOOST_TEST(roll_outs.share(service, at(2s)) == 0.0);
        const auto steps = roll_outs.steps(at(2s));
        BOOST_REQUIRE(steps.size() == 1U);
        BOOST_CHECK(steps.front().state_ == staged_roll_out_state::rolled_back);
        BOOST_TEST((steps.front().position_ ==
                    state::store_position{.era_ = second_era, .revision_ = again.revision_}));
        // Until the step is recorded, instances that start now hear of it.
        const auto report = roll_outs.report(forwarding::report_scope::own, {}, at(2s));
        BOOST_REQUIRE(report.ages_.size() == 1U);
        BOOST_TEST(report.ages_.front().is_halted_);
    }
    roll_outs.update({order(second_era, 30, staged_roll_out_state::rolled_back)}, at(3s));
    BOOST_TEST(roll_outs.steps(at(3s)).empty());
    // A later order of the same era is another roll-out.
    roll_outs.update({order(second_era, 50, staged_roll_out_state::ordered)}, at(4s));
    BOOST_TEST(roll_outs.share(service, at(4s)) > 0.0);
}

BOOST_AUTO_TEST_CASE(a_lost_completion_is_recorded_again)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(first_era, 40, staged_roll_out_state::completed)}, at(0s));
    roll_outs.update({order(second_era, 40, staged_roll_out_state::running)}, at(2s));
    BOOST_TEST(roll_outs.share(service, at(2s)) == 1.0);
    BOOST_REQUIRE(roll_outs.steps(at(2s)).size() == 1U);
    BOOST_CHECK(roll_outs.steps(at(2s)).front().state_ == staged_roll_out_state::completed);
}

BOOST_AUTO_TEST_CASE(a_report_on_an_order_of_an_older_era_does_not_halt_one_with_its_number)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(second_era, 40, staged_roll_out_state::running)}, at(0s));
    auto report = forwarding::roll_out_report{};
    report.ages_ = {{.service_ = service, .era_ = first_era, .created_ = 40, .age_ = 9s, .is_halted_ = true}};
    roll_outs.hear(state::instance_id{"b"}, forwarding::report_scope::own, report, at(1s));
    BOOST_TEST(roll_outs.share(service, at(1s)) > 0.0);
    // An older build reports no era.
    report.ages_.front().era_ = {};
    roll_outs.hear(state::instance_id{"b"}, forwarding::report_scope::own, report, at(1s));
    BOOST_TEST(roll_outs.share(service, at(1s)) == 0.0);
}

BOOST_AUTO_TEST_CASE(an_order_that_the_copy_lacks_holds_until_the_service_has_one_again)
{
    auto orders = forwarding::roll_out_directory{};
    orders.list({order(first_era, 40, staged_roll_out_state::rolled_back)}, first_era);
    orders.list({}, second_era);
    BOOST_REQUIRE(orders.current().size() == 1U);
    BOOST_TEST((orders.current().front().era_ == first_era));
    orders.list({order(second_era, 30, staged_roll_out_state::ordered)}, second_era);
    BOOST_REQUIRE(orders.current().size() == 1U);
    BOOST_TEST((orders.current().front().era_ == second_era));
    orders.list({}, second_era);
    BOOST_TEST(orders.current().empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_left_is_not_used_again_because_of_the_copy)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("drained"), endpoint("removed"), endpoint("stays")}, at(1s));
    directory.list({endpoint("drained", true), endpoint("stays")}, at(2s));
    directory.mark_store_unavailable(at(2s));
    directory.mark_store_restored(at(3s));
    directory.mark_store_available(at(3s));
    directory.list({endpoint("drained"), endpoint("removed"), endpoint("stays")}, at(3s));
    BOOST_TEST(is_usable(directory, "stays", at(3s)));
    BOOST_TEST(!is_usable(directory, "drained", at(3s)));
    BOOST_TEST(!is_usable(directory, "removed", at(3s)));
    // One that registers again is alive. The platform corrects the other entries within some seconds.
    directory.list({endpoint("drained"), endpoint("removed", false, 9)}, at(4s));
    BOOST_TEST(is_usable(directory, "removed", at(4s)));
    BOOST_REQUIRE(directory.next_expiry(at(6s)).has_value());
    BOOST_TEST(is_usable(directory, "drained", *directory.next_expiry(at(6s))));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_the_copy_lacks_is_kept_for_two_seconds)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("e1")}, at(1s));
    directory.mark_store_unavailable(at(2s));
    directory.mark_store_restored(at(3s));
    directory.list({}, at(3s));
    directory.mark_store_available(at(3s));
    BOOST_TEST(is_usable(directory, "e1", at(4900ms)));
    BOOST_REQUIRE(directory.next_expiry(at(3s)).has_value());
    BOOST_TEST(!is_usable(directory, "e1", *directory.next_expiry(at(3s))));
}

BOOST_AUTO_TEST_CASE(reads_that_keep_failing_are_paused_and_spread)
{
    auto pacing = coordination::membership::store_read_pacing{};
    auto now = at(0s);
    auto reads = 0;
    while (now < at(20s)) {
        const auto pause = pacing.pause(now, 0.0);
        BOOST_TEST((pause >= 100ms));
        now += pause;
        ++reads;
    }
    BOOST_TEST(reads < 70);
    const auto shortest = coordination::membership::store_read_pacing{pacing}.pause(now, 0.0);
    const auto longest = pacing.pause(now, 1.0);
    BOOST_TEST((longest - shortest >= 500ms));
    // Changes must be in force within two seconds of the store's return.
    BOOST_TEST((longest <= 1100ms));
    BOOST_TEST((pacing.pause(now + 10s, 0.0) == 100ms));
}

BOOST_AUTO_TEST_CASE(followers_do_not_all_ask_a_restored_store)
{
    auto fallback = coordination::membership::store_fallback{at(0s)};
    fallback.watcher_confirmed(at(10s));
    BOOST_TEST(fallback.may_ask_store(at(12s)));
    fallback.store_restored(at(12s));
    BOOST_TEST(!fallback.may_ask_store(at(13s)));
    BOOST_TEST(fallback.may_ask_store(at(13200ms)));
}

BOOST_AUTO_TEST_CASE(instances_that_have_yet_to_register_again_stay_listed)
{
    const auto instance = [](int number) {
        return coordination::membership::listed_instance{
            .id_ = state::instance_id{std::to_string(number)},
            .data_centre_ = state::data_centre_id{"north"},
            .control_ = {.host_ = "10.0.0.1", .port_ = static_cast<std::uint16_t>(number)}};
    };
    auto watchers = coordination::membership::store_watchers{instance(1)};
    watchers.update({instance(1), instance(2), instance(3)});
    auto moved = instance(2);
    moved.control_.port_ = 9;
    watchers.add({moved});
    BOOST_TEST(watchers.others().size() == 2U);
    watchers.update({moved});
    BOOST_TEST((watchers.others() == std::vector{moved.control_}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

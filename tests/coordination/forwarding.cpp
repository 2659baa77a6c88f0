#include "coordination/admission/latency_window.hpp"
#include "coordination/forwarding/endpoint_directory.hpp"
#include "coordination/forwarding/endpoint_pool.hpp"
#include "coordination/forwarding/first_byte_forecast.hpp"
#include "coordination/forwarding/model_choice.hpp"
#include "coordination/forwarding/service_roll_outs.hpp"
#include "coordination/forwarding/session_pins.hpp"
#include "coordination/forwarding/work_exchange.hpp"
#include "coordination/time/seeded_random.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;

const auto service = state::service_name{"advice"};
const auto old_version = state::version_name{"v1"};
const auto new_version = state::version_name{"v2"};

auto endpoint(const std::string& id, const state::version_name& version = old_version)
    -> state::registered_endpoint
{
    return {.id_ = state::endpoint_id{id},
            .service_ = service,
            .address_ = {.host_ = "10.0.0.1", .port_ = 80},
            .data_centre_ = state::data_centre_id{"north"},
            .version_ = version,
            .slots_ = 8,
            .registered_at_ = version == old_version ? 1U : 9U};
}

auto at(state::duration time) -> state::time_point
{
    return state::time_point{time};
}

auto order(state::staged_roll_out_state state = state::staged_roll_out_state::ordered)
    -> state::staged_roll_out
{
    return {.service_ = service,
            .target_ = new_version,
            .time_allowed_ = 20s,
            .state_ = state,
            .revision_ = 5,
            .created_ = 4};
}

auto key(const state::version_name& version, std::int32_t group) -> forwarding::evidence_key
{
    return {.service_ = service, .version_ = version, .route_ = "inquiry", .endpoint_group_ = group};
}

/// Records an answer of one endpoint.
auto record(forwarding::service_roll_outs& roll_outs, const state::version_name& version,
            const std::string& endpoint_name, bool is_good) -> void
{
    roll_outs.record(service, version, "inquiry", state::endpoint_id{endpoint_name}, is_good);
}

/// Records times of both versions, so that the new one is found `factor` times as slow as the old one.
auto record_times(forwarding::service_roll_outs& roll_outs, double factor, state::time_point now) -> void
{
    constexpr auto answers = 40;
    const auto work = coordination::roll_out::work_kind{.route_ = "inquiry", .model_ = "small"};
    for (auto number = 0; number < answers; ++number) {
        const auto id = state::endpoint_id{"e" + std::to_string(number % 8)};
        const auto time = 20ms + number * 500us;
        roll_outs.record_time(service, old_version, work, id, now, time, now);
        const auto time_of_new = std::chrono::duration_cast<state::duration>(time * factor);
        roll_outs.record_time(service, new_version, work, id, now, time_of_new, now);
    }
}

const auto both_versions = std::vector{old_version, new_version};

} // namespace

BOOST_AUTO_TEST_SUITE(forwarding_decisions)

BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_gets_no_new_work)
{
    auto pool = forwarding::endpoint_pool{};
    auto draining = endpoint("e1");
    draining.is_draining_ = true;
    pool.update({draining, endpoint("e2"), endpoint("e3")});
    pool.mark_leaving(state::endpoint_id{"e3"}, at(1s));
    for (auto random = 0U; random < 50; ++random)
        BOOST_TEST(pool.choose({.service_ = service}, at(1s), random)->endpoint_.text() == "e2");
    pool.update({draining});
    BOOST_TEST(!pool.choose({.service_ = service}, at(1s), 1).has_value());
}

BOOST_AUTO_TEST_CASE(a_restarted_endpoint_is_usable_again)
{
    auto pool = forwarding::endpoint_pool{};
    auto first = endpoint("e1");
    first.incarnation_ = 1;
    pool.update({first});
    pool.mark_leaving(first.id_, at(1s));
    BOOST_TEST(!pool.choose({.service_ = service}, at(1s), 1).has_value());
    first.incarnation_ = 2;
    pool.update({first});
    BOOST_TEST(pool.choose({.service_ = service}, at(1s), 1).has_value());
}

/// The store may lose an entry and list it again from an older copy, as ready and under another registration
/// number.
BOOST_AUTO_TEST_CASE(an_older_listing_does_not_bring_a_leaving_endpoint_back)
{
    auto pool = forwarding::endpoint_pool{};
    auto leaving = endpoint("e1");
    leaving.incarnation_ = 7;
    const auto is_used = [&pool] { return pool.choose({.service_ = service}, at(2s), 1).has_value(); };
    pool.update({leaving});
    const auto announced = pool.mark_leaving(leaving.id_, at(1s));
    BOOST_REQUIRE(announced.has_value());
    BOOST_TEST(!pool.mark_leaving(leaving.id_, at(1s)).has_value());
    pool.update({});
    pool.update({leaving});
    BOOST_TEST(!is_used());
    leaving.registered_at_ = 90;
    pool.update({leaving});
    BOOST_TEST(!is_used());
    leaving.incarnation_ = 6;
    pool.update({leaving});
    BOOST_TEST(!is_used());
    leaving.incarnation_ = 8;
    pool.update({leaving});
    BOOST_TEST(is_used());
    // The announcement of the run before arrives late.
    pool.record_remote_leaving(*announced, at(2s));
    BOOST_TEST(is_used());
}

BOOST_AUTO_TEST_CASE(without_a_start_time_an_endpoint_that_registers_again_is_back)
{
    auto pool = forwarding::endpoint_pool{};
    auto leaving = endpoint("e1");
    pool.update({leaving});
    pool.record_remote_leaving({.endpoint_ = leaving.id_, .registered_at_ = leaving.registered_at_}, at(1s));
    BOOST_TEST(!pool.choose({.service_ = service}, at(1s), 1).has_value());
    ++leaving.registered_at_;
    pool.update({leaving});
    BOOST_TEST(pool.choose({.service_ = service}, at(1s), 1).has_value());
}

BOOST_AUTO_TEST_CASE(an_endpoint_is_probed_with_single_requests_after_its_pause)
{
    const auto id = state::endpoint_id{"e1"};
    auto pauses = forwarding::endpoint_pauses{};
    pauses.add(id, 4s, at(1s), 999'999);
    // A shorter pause that is asked for later does not end the longer one.
    pauses.add(id, 100ms, at(2s), 0);
    const auto probe = pauses.next_request_at(id, at(2s));
    BOOST_TEST((probe > at(5s) && probe < at(6s)));
    pauses.record_good_answer(id, at(900ms), at(3s));
    BOOST_TEST((pauses.next_request_at(id, at(3s)) == probe));
    pauses.record_sent(id, probe);
    // Without an answer the next request waits a second.
    BOOST_TEST((pauses.next_request_at(id, probe) == probe + 1s));
    pauses.record_good_answer(id, probe, probe + 50ms);
    BOOST_TEST((pauses.next_request_at(id, probe) == probe + 300ms));
    for (auto answers = 0; answers < 3; ++answers)
        pauses.record_good_answer(id, probe, probe + 50ms);
    BOOST_TEST((pauses.next_request_at(id, probe) == probe));
}

/// An endpoint that is full for a moment is not kept at one request a second for longer than that.
BOOST_AUTO_TEST_CASE(after_a_short_pause_the_probes_follow_each_other_sooner)
{
    const auto id = state::endpoint_id{"e1"};
    auto pauses = forwarding::endpoint_pauses{};
    pauses.add(id, 200ms, at(1s), 0);
    pauses.record_sent(id, at(1200ms));
    BOOST_TEST((pauses.next_request_at(id, at(1200ms)) == at(1400ms)));
}

BOOST_AUTO_TEST_CASE(instances_return_to_an_endpoint_at_different_times)
{
    const auto id = state::endpoint_id{"e1"};
    auto times = std::set<state::time_point>{};
    auto random = coordination::time::seeded_random{3};
    for (auto instance = 0; instance < 20; ++instance) {
        auto pauses = forwarding::endpoint_pauses{};
        pauses.add(id, 2s, at(1s), random.next());
        times.insert(pauses.next_request_at(id, at(1s)));
    }
    BOOST_TEST(times.size() == 20U);
    BOOST_TEST((*times.begin() >= at(3s)));
    BOOST_TEST((*times.rbegin() - *times.begin() > 300ms));
}

BOOST_AUTO_TEST_CASE(an_affinity_key_stays_on_one_endpoint_until_it_is_busy)
{
    auto pool = forwarding::endpoint_pool{};
    pool.update({endpoint("e1"), endpoint("e2"), endpoint("e3")});
    const auto query = forwarding::pool_query{
        .service_ = service, .affinity_ = "subject", .work_ = 300ms, .shared_work_ = 200ms};
    const auto preferred = pool.choose(query, at(1s), 1)->endpoint_;
    for (auto random = 0U; random < 20; ++random)
        BOOST_TEST(pool.choose(query, at(1s), random)->endpoint_ == preferred);
    // A short queueing delay costs less than processing the shared prefix on another endpoint.
    pool.begin(preferred, 300ms, at(1s));
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ == preferred);
    BOOST_TEST((pool.choose(query, at(1s), 1)->expected_ == 600ms));
    pool.begin(preferred, 1500ms, at(1s));
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ != preferred);
    BOOST_TEST((pool.choose(query, at(1s), 1)->expected_ == 500ms));
    pool.settle(preferred, 1800ms);
    pool.end(preferred);
    pool.end(preferred);
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ == preferred);
    for (auto i = 0; i < 8; ++i)
        pool.record_first_byte(preferred, 1.0, at(1s));
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ != preferred);
    // Latency samples decay with time.
    BOOST_TEST(pool.choose(query, at(20s), 1)->endpoint_ == preferred);
}

/// Guards against bodies that are sent to another data centre for the sake of a short cached prefix.
BOOST_AUTO_TEST_CASE(requests_with_short_prefixes_stay_in_their_data_centre)
{
    auto pool = forwarding::endpoint_pool{};
    auto listed = std::vector<state::registered_endpoint>{};
    for (auto number = 0; number < 24; ++number) {
        auto item = endpoint("e" + std::to_string(number));
        item.data_centre_ = state::data_centre_id{"dc-" + std::to_string(number % 6)};
        listed.push_back(std::move(item));
    }
    pool.update(listed);
    auto query = forwarding::pool_query{.service_ = service,
                                        .data_centre_ = state::data_centre_id{"dc-2"},
                                        .stays_in_data_centre_ = true,
                                        .work_ = 300ms,
                                        .shared_work_ = 20ms};
    const auto data_centre_of = [&pool](const state::endpoint_id& id) {
        return pool.find(id)->data_centre_.text();
    };
    auto far = 0;
    for (auto key = 0; key < 60; ++key) {
        query.affinity_ = std::to_string(key);
        query.stays_in_data_centre_ = true;
        BOOST_TEST(data_centre_of(pool.choose(query, at(1s), 1)->endpoint_) == "dc-2");
        query.stays_in_data_centre_ = false;
        far += data_centre_of(pool.choose(query, at(1s), 1)->endpoint_) == "dc-2" ? 0 : 1;
    }
    BOOST_TEST(far > 30);
    // The own data centre's endpoints are out of reach.
    query.stays_in_data_centre_ = true;
    for (const auto& item : listed) {
        if (item.data_centre_ == query.data_centre_)
            pool.mark_unreachable(item.id_, at(1s));
    }
    BOOST_TEST(data_centre_of(pool.choose(query, at(1s), 1)->endpoint_) != "dc-2");
}

BOOST_AUTO_TEST_CASE(what_other_routers_sent_to_an_endpoint_counts)
{
    auto pool = forwarding::endpoint_pool{};
    pool.update({endpoint("e1"), endpoint("e2"), endpoint("e3")});
    const auto query = forwarding::pool_query{
        .service_ = service, .affinity_ = "subject", .work_ = 300ms, .shared_work_ = 200ms};
    const auto preferred = pool.choose(query, at(1s), 1)->endpoint_;
    pool.set_remote_work({{.endpoint_ = preferred, .pending_ = 2s}});
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ != preferred);
    pool.set_remote_work({});
    BOOST_TEST(pool.choose(query, at(1s), 1)->endpoint_ == preferred);
}

BOOST_AUTO_TEST_CASE(work_is_added_up_once_over_followers_and_watchers)
{
    const auto work = [](state::duration pending) {
        return std::vector{
            forwarding::endpoint_work{.endpoint_ = state::endpoint_id{"e1"}, .pending_ = pending}};
    };
    const auto follower = state::instance_id{"follower"};
    const auto near = state::instance_id{"near"};
    const auto far = state::instance_id{"far"};
    auto of_near = forwarding::work_exchange{};
    of_near.hear(follower, forwarding::report_scope::own, work(100ms), at(1s));
    of_near.hear(far, forwarding::report_scope::subtree, work(20ms), at(1s));
    BOOST_TEST((of_near.remote(at(1s)) == work(120ms)));
    const auto reported = of_near.report(work(3ms), at(1s));
    BOOST_TEST((reported.own_ == work(3ms)));
    BOOST_TEST((reported.subtree_ == work(103ms)));
    BOOST_TEST((reported.all_ == work(123ms)));

    auto of_follower = forwarding::work_exchange{};
    of_follower.report(work(100ms), at(900ms));
    of_follower.hear(near, forwarding::report_scope::all, reported.all_, at(1s));
    // The follower's own work is subtracted from the sum.
    BOOST_TEST((of_follower.remote(at(1s)) == work(23ms)));
    // Old reports are dropped, since their requests have finished.
    BOOST_TEST(of_follower.remote(at(3s)).empty());
    BOOST_TEST(of_near.remote(at(3s)).empty());
}

/// The target is 600 endpoints; the size of the report to all routers must not grow with their number.
BOOST_AUTO_TEST_CASE(all_routers_are_told_of_the_busiest_endpoints_only)
{
    auto work = std::vector<forwarding::endpoint_work>{};
    for (auto number = 1; number <= 600; ++number)
        work.push_back({.endpoint_ = state::endpoint_id{"e" + std::to_string(number)},
                        .pending_ = std::chrono::milliseconds{number}});
    auto exchange = forwarding::work_exchange{};
    const auto reported = exchange.report(work, at(1s));
    BOOST_REQUIRE(reported.all_.size() == 24U);
    for (const auto& item : reported.all_)
        BOOST_TEST((item.pending_ > 576ms));
}

BOOST_AUTO_TEST_CASE(a_forecast_goes_with_the_length_of_the_prompt)
{
    auto forecast = forwarding::first_byte_forecast{};
    const auto model = state::model_name{"large"};
    BOOST_TEST((forecast.expected("inquiry", model, 1000, 60us) == 60ms));
    for (auto i = 0; i < 50; ++i)
        forecast.record("inquiry", model, i % 2 == 0 ? 1000 : 20'000, i % 2 == 0 ? 50ms : 1000ms);
    BOOST_TEST((forecast.expected("inquiry", model, 10'000, 60us) > 490ms));
    BOOST_TEST((forecast.expected("inquiry", model, 10'000, 60us) < 510ms));
    BOOST_TEST((forecast.expected("inquiry", state::model_name{"small"}, 1000, 0us) == 0ms));
}

BOOST_AUTO_TEST_CASE(unreachable_endpoints_are_ejected_and_used_when_all_are_ejected)
{
    auto pool = forwarding::endpoint_pool{};
    pool.update({endpoint("e1"), endpoint("e2")});
    pool.mark_unreachable(state::endpoint_id{"e1"}, at(1s));
    for (auto random = 0U; random < 20; ++random)
        BOOST_TEST(pool.choose({.service_ = service}, at(1100ms), random)->endpoint_.text() == "e2");
    pool.mark_unreachable(state::endpoint_id{"e2"}, at(1s));
    BOOST_TEST(pool.choose({.service_ = service}, at(1100ms), 3).has_value());
}

BOOST_AUTO_TEST_CASE(entries_that_lapse_in_an_outage_are_kept_until_shortly_after_it)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("e1"), endpoint("e2")}, at(1s));
    directory.mark_store_unavailable(at(2s));
    directory.mark_store_available(at(10s));
    directory.list({endpoint("e2")}, at(10s));
    BOOST_TEST(directory.current(at(11s)).size() == 2U);
    BOOST_REQUIRE(directory.next_expiry(at(11s)).has_value());
    BOOST_TEST(directory.current(*directory.next_expiry(at(11s))).size() == 1U);
    // Without an outage a missing entry is removed at once.
    directory.list({}, at(20s));
    BOOST_TEST(directory.current(at(20s)).empty());
}

// Endpoints that had gone in an outage got requests again at each later loss of the store.
BOOST_AUTO_TEST_CASE(an_entry_that_stayed_away_after_an_outage_does_not_return_in_the_next_one)
{
    auto directory = forwarding::endpoint_directory{};
    directory.list({endpoint("e1"), endpoint("e2")}, at(1s));
    directory.mark_store_unavailable(at(2s));
    directory.mark_store_available(at(10s));
    directory.list({endpoint("e2")}, at(10s));
    directory.mark_store_unavailable(at(20s));
    BOOST_TEST(directory.current(at(20s)).size() == 1U);
    directory.mark_store_available(at(21s));
    directory.list({endpoint("e2")}, at(21s));
    BOOST_TEST(directory.current(at(21s)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_draining_entry_is_not_kept)
{
    auto directory = forwarding::endpoint_directory{};
    auto leaving = endpoint("e1");
    leaving.is_draining_ = true;
    directory.list({leaving}, at(1s));
    directory.mark_store_unavailable(at(2s));
    directory.mark_store_available(at(10s));
    directory.list({}, at(10s));
    BOOST_TEST(directory.current(at(10s)).empty());
}

BOOST_AUTO_TEST_CASE(before_its_order_is_seen_a_new_version_gets_nothing)
{
    const auto roll_outs = forwarding::service_roll_outs{};
    const auto choice = roll_outs.choose(service, both_versions, std::nullopt, 0.0, at(1s));
    BOOST_TEST(choice.allows(old_version));
    BOOST_TEST(!choice.allows(new_version));
}

BOOST_AUTO_TEST_CASE(a_good_version_takes_over_in_stages_within_its_time)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order()}, at(0s));
    BOOST_TEST(roll_outs.share(service, at(9s)) < 0.15);
    BOOST_TEST(roll_outs.share(service, at(9s)) > 0.0);
    record_times(roll_outs, 1.0, at(9s));
    BOOST_TEST(roll_outs.judge(at(14500ms)).empty());
    BOOST_TEST(roll_outs.share(service, at(15s)) == 1.0);
    BOOST_REQUIRE(roll_outs.steps(at(1s)).size() == 1U);
    BOOST_CHECK(roll_outs.steps(at(1s)).front().state_ == state::staged_roll_out_state::running);
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(1s));
    BOOST_TEST(roll_outs.steps(at(15s)).empty());
    BOOST_REQUIRE(roll_outs.steps(at(19s)).size() == 1U);
    BOOST_CHECK(roll_outs.steps(at(19s)).front().state_ == state::staged_roll_out_state::completed);
}

BOOST_AUTO_TEST_CASE(without_evidence_a_version_is_rolled_back_before_its_time_ends)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    BOOST_TEST(roll_outs.judge(at(15s)).empty());
    BOOST_TEST(roll_outs.share(service, at(15s)) <= 0.5);
    BOOST_TEST(roll_outs.judge(at(17s)).size() == 1U);
    BOOST_REQUIRE(roll_outs.steps(at(17s)).size() == 1U);
    BOOST_CHECK(roll_outs.steps(at(17s)).front().state_ == state::staged_roll_out_state::rolled_back);
}

BOOST_AUTO_TEST_CASE(sessions_stay_on_their_version)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    // In the first half no session moves to the new version; a session on it never moves back.
    BOOST_TEST(!roll_outs.choose(service, both_versions, old_version, 0.0, at(9s)).allows(new_version));
    BOOST_TEST(!roll_outs.choose(service, both_versions, new_version, 0.99, at(9s)).allows(old_version));
    BOOST_TEST(!roll_outs.choose(service, both_versions, new_version, 0.99, at(13s)).allows(old_version));
    auto pins = forwarding::session_pins{5s};
    pins.pin(state::session_id{"s"}, service, new_version, at(1s));
    BOOST_TEST(pins.find(state::session_id{"s"}, service, at(5s)).value() == new_version);
    BOOST_TEST(!pins.find(state::session_id{"s"}, service, at(7s)).has_value());
    BOOST_TEST(!pins.find(state::session_id{}, service, at(1s)).has_value());
}

auto fleet(int size) -> std::vector<state::registered_endpoint>
{
    auto endpoints = std::vector<state::registered_endpoint>{};
    for (auto number = 0; number < size; ++number)
        endpoints.push_back({.id_ = state::endpoint_id{"e" + std::to_string(number)},
                             .service_ = service,
                             .version_ = old_version});
    return endpoints;
}

BOOST_AUTO_TEST_CASE(a_small_fleet_begins_with_the_whole_first_share)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.record_fleet_sizes(fleet(9));
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    BOOST_TEST(roll_outs.share(service, at(5s)) == 0.08);
}

BOOST_AUTO_TEST_CASE(crashed_endpoints_do_not_change_the_first_share)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.record_fleet_sizes(fleet(90));
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    const auto before = roll_outs.share(service, at(5s));
    roll_outs.record_fleet_sizes(fleet(20));
    BOOST_TEST(roll_outs.share(service, at(5s)) == before);
    BOOST_TEST(before > 0.0);
}

/// Load pattern: 90 endpoints; 50 sessions that were active when the roll-out began continue at another
/// router, which has no pins for them. In each of 20 runs at most three may switch versions.
BOOST_AUTO_TEST_CASE(few_sessions_move_when_a_large_fleet_begins_a_roll_out)
{
    auto random = coordination::time::seeded_random{23};
    auto elsewhere = forwarding::service_roll_outs{};
    elsewhere.record_fleet_sizes(fleet(90));
    elsewhere.update({order(state::staged_roll_out_state::running)}, at(0s));
    for (auto day = 0; day < 20; ++day) {
        auto moved = 0;
        for (auto session = 0; session < 50; ++session) {
            const auto draw = static_cast<double>(random.next() >> 11U) * 0x1.0p-53;
            const auto choice = elsewhere.choose(service, both_versions, std::nullopt, draw, at(5s));
            moved += choice.allows(new_version) ? 1 : 0;
        }
        BOOST_TEST(moved <= 3);
    }
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_halted_by_the_evidence_of_all_instances)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    for (auto i = 0; i < 40; ++i)
        record(roll_outs, old_version, "e1", true);
    BOOST_TEST(roll_outs.judge(at(2s)).empty());
    auto report = forwarding::roll_out_report{.life_ = state::incarnation{7}};
    report.counts_ = {{key(new_version, 5), {.good_ = 2, .bad_ = 3}},
                      {key(new_version, 6), {.good_ = 2, .bad_ = 2}},
                      {key(new_version, 7), {.good_ = 1, .bad_ = 3}}};
    roll_outs.hear(state::instance_id{"other"}, forwarding::report_scope::own, report, at(3s));
    // Receiving the same report again does not count its answers twice.
    roll_outs.hear(state::instance_id{"other"}, forwarding::report_scope::own, report, at(3s));
    BOOST_REQUIRE(roll_outs.judge(at(3s)).size() == 1U);
    BOOST_TEST(roll_outs.share(service, at(3s)) == 0.0);
    BOOST_TEST(!roll_outs.choose(service, both_versions, new_version, 0.0, at(3s)).allows(new_version));
    BOOST_CHECK(roll_outs.steps(at(3s)).front().state_ == state::staged_roll_out_state::rolled_back);
    // A stale copy of the record does not resume the roll-out.
    roll_outs.update({order(state::staged_roll_out_state::rolled_back)}, at(4s));
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(5s));
    BOOST_TEST(roll_outs.share(service, at(19s)) == 0.0);
}

BOOST_AUTO_TEST_CASE(one_bad_endpoint_does_not_halt_a_version)
{
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    for (auto i = 0; i < 40; ++i)
        record(roll_outs, old_version, "e1", true);
    for (auto i = 0; i < 12; ++i) {
        record(roll_outs, new_version, "e5", i % 2 == 0);
        record(roll_outs, new_version, "e6", true);
        record(roll_outs, new_version, "e7", true);
    }
    BOOST_TEST(roll_outs.judge(at(3s)).empty());
}

BOOST_AUTO_TEST_CASE(an_instance_that_starts_late_adopts_the_age_of_a_roll_out)
{
    auto early = forwarding::service_roll_outs{};
    early.update({order(state::staged_roll_out_state::running)}, at(0s));
    record_times(early, 1.0, at(9s));
    early.judge(at(14500ms));
    auto late = forwarding::service_roll_outs{};
    late.update({order(state::staged_roll_out_state::running)}, at(100s));
    late.hear(state::instance_id{"early"}, forwarding::report_scope::subtree,
              early.report(forwarding::report_scope::subtree, state::incarnation{1}, at(15s)), at(100s));
    BOOST_TEST(late.share(service, at(100s)) == 1.0);
}

BOOST_AUTO_TEST_CASE(an_instance_that_starts_late_does_not_complete_what_others_have_halted)
{
    using forwarding::report_scope;
    auto late = forwarding::service_roll_outs{};
    late.update({order(state::staged_roll_out_state::running)}, at(19s));
    auto report = forwarding::roll_out_report{.life_ = state::incarnation{7}};
    report.ages_ = {{.service_ = service, .created_ = 4, .age_ = 19s}};
    late.hear(state::instance_id{"one"}, report_scope::subtree, report, at(19s));
    // The instance knows the age of the roll-out, but has received too little evidence to complete it.
    BOOST_TEST(late.steps(at(19s)).empty());
    report.ages_.front().is_halted_ = true;
    late.hear(state::instance_id{"two"}, report_scope::subtree, report, at(20s));
    BOOST_REQUIRE(late.steps(at(25s)).size() == 1U);
    BOOST_CHECK(late.steps(at(25s)).front().state_ == state::staged_roll_out_state::rolled_back);
    BOOST_TEST(late.share(service, at(25s)) == 0.0);
}

BOOST_AUTO_TEST_CASE(evidence_is_added_up_once_over_followers_and_watchers)
{
    using forwarding::report_scope;
    const auto life = state::incarnation{1};
    auto follower = forwarding::service_roll_outs{};
    auto near = forwarding::service_roll_outs{};
    auto far = forwarding::service_roll_outs{};
    for (auto* each : {&follower, &near, &far}) {
        each->update({order(state::staged_roll_out_state::running)}, at(0s));
        record(*each, old_version, "e1", true);
    }
    const auto total = [&](const forwarding::service_roll_outs& from, report_scope scope) {
        auto sum = std::int64_t{0};
        for (const auto& item : from.report(scope, life, at(2s)).counts_)
            sum += item.counts_.good_;
        return sum;
    };
    near.hear(state::instance_id{"follower"}, report_scope::own,
              follower.report(report_scope::own, life, at(1s)), at(1s));
    far.hear(state::instance_id{"near"}, report_scope::subtree,
             near.report(report_scope::subtree, life, at(1s)), at(1s));
    near.hear(state::instance_id{"far"}, report_scope::subtree,
              far.report(report_scope::subtree, life, at(1s)), at(1s));
    follower.hear(state::instance_id{"near"}, report_scope::all, near.report(report_scope::all, life, at(1s)),
                  at(1s));
    BOOST_TEST(total(near, report_scope::subtree) == 2);
    BOOST_TEST(total(near, report_scope::all) == 3);
    BOOST_TEST(total(far, report_scope::all) == 3);
    BOOST_TEST(total(follower, report_scope::all) == 3);
    BOOST_TEST(total(follower, report_scope::own) == 1);
    // The total of a router with few reports does not replace a larger one.
    auto lone = forwarding::service_roll_outs{};
    lone.update({order(state::staged_roll_out_state::running)}, at(0s));
    follower.hear(state::instance_id{"lone"}, report_scope::all, lone.report(report_scope::all, life, at(2s)),
                  at(2s));
    BOOST_TEST(total(follower, report_scope::all) == 3);
}

BOOST_AUTO_TEST_CASE(answers_far_slower_than_usual_are_found)
{
    for (const auto factor : {1.0, 2.0, 8.0}) {
        auto roll_outs = forwarding::service_roll_outs{};
        roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
        record_times(roll_outs, factor, at(9s));
        BOOST_TEST(roll_outs.judge(at(10s)).size() == (factor > 1.0 ? 1U : 0U));
        // Times of the new version do not become the standard for the next ones.
        record_times(roll_outs, factor, at(10s));
        BOOST_TEST((roll_outs.share(service, at(11s)) > 0.0) == (factor == 1.0));
    }
    // Without times of the old version nothing is known to be slow.
    auto roll_outs = forwarding::service_roll_outs{};
    roll_outs.update({order(state::staged_roll_out_state::running)}, at(0s));
    const auto work = coordination::roll_out::work_kind{.route_ = "inquiry", .model_ = "small"};
    for (auto number = 0; number < 40; ++number)
        roll_outs.record_time(service, new_version, work, state::endpoint_id{"e"}, at(9s), 10s, at(9s));
    BOOST_TEST(roll_outs.judge(at(10s)).empty());
}

BOOST_AUTO_TEST_CASE(poor_answers_are_asked_for_again_while_endpoints_have_time)
{
    auto route = state::route{};
    route.latency_objective_ = 3s;
    route.models_ = {state::model_name{"small"}, state::model_name{"middle"}, state::model_name{"large"}};
    const auto small = forwarding::first_model(route);
    auto query = forwarding::escalation_query{.confidence_ = 20,
                                              .attempts_left_ = 1,
                                              .since_arrival_ = 300ms,
                                              .time_left_ = 10s,
                                              .expected_ = 900ms};
    BOOST_TEST(forwarding::escalation_model(route, small, query)->text() == "large");
    query.confidence_ = 80;
    BOOST_TEST(!forwarding::escalation_model(route, small, query).has_value());
    query.confidence_ = 20;
    query.attempts_left_ = 0;
    BOOST_TEST(!forwarding::escalation_model(route, small, query).has_value());
    query.attempts_left_ = 1;
    // The prompt or the queue before it is so long that the better answer would be late.
    query.expected_ = 2600ms;
    BOOST_TEST(!forwarding::escalation_model(route, small, query).has_value());
    query.expected_ = 900ms;
    query.since_arrival_ = 2500ms;
    BOOST_TEST(!forwarding::escalation_model(route, small, query).has_value());
    query.since_arrival_ = 300ms;
    BOOST_TEST(!forwarding::escalation_model(route, state::model_name{"large"}, query).has_value());
}

BOOST_AUTO_TEST_CASE(the_window_shrinks_while_answers_are_late_and_grows_again)
{
    auto window = coordination::admission::latency_window{};
    const auto before = window.size();
    for (auto i = 0; i < 20; ++i)
        window.record_first_byte(2s, 1s, 20, at(i * 500ms));
    BOOST_TEST(window.size() < before / 4);
    // Requests of lower priority are held back first, and one request of each priority is always admitted.
    BOOST_TEST(window.admits(2, 0));
    BOOST_TEST(!window.admits(2, 3));
    BOOST_TEST(window.admits(0, 9));
    for (auto i = 0; i < 400; ++i)
        window.record_first_byte(100ms, 1s, static_cast<std::int32_t>(window.size()), at(20s));
    BOOST_TEST(window.size() > before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

#include "coordination/admission/fair_queue.hpp"
#include "coordination/answer/answer_relay.hpp"
#include "coordination/billing/bill_deduplicator.hpp"
#include "coordination/billing/bill_replicator.hpp"
#include "coordination/billing/bill_table.hpp"
#include "coordination/billing/written_ranges.hpp"
#include "coordination/cascade/cascade_planner.hpp"
#include "coordination/configuration/apply_change.hpp"
#include "coordination/configuration/replica.hpp"
#include "coordination/placement/endpoint_table.hpp"
#include "coordination/roll_out/sequential_test.hpp"
#include "coordination/time/seeded_random.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;

auto change_number(std::uint64_t number, std::uint64_t chain) -> state::configuration_change
{
    return {.generation_ = state::generation{number},
            .id_ = state::change_id{"c" + std::to_string(number)},
            .previous_chain_ = chain,
            .content_ = state::version_settings{.key_ = state::version_key_from_text("small@1")}};
}

auto bill(const std::string& request, const std::string& origin, std::uint64_t sequence, int completed)
    -> state::bill_record
{
    return {.key_ = {.workspace_ = state::workspace_id{"w"}, .request_ = state::request_id{request}},
            .origin_ = state::instance_id{origin},
            .sequence_ = sequence,
            .completed_ = state::wall_time{std::chrono::milliseconds{completed}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(decisions)

BOOST_AUTO_TEST_CASE(replica_only_moves_forward)
{
    using coordination::configuration::offer_result;
    auto replica = coordination::configuration::replica{};
    BOOST_CHECK(replica.offer_change(change_number(2, 0)) == offer_result::has_gap);
    BOOST_CHECK(replica.offer_change(change_number(1, 0)) == offer_result::applied);
    const auto first = *replica.current();
    BOOST_CHECK(replica.offer_change(change_number(2, 99)) == offer_result::diverged);
    BOOST_CHECK(replica.offer_change(change_number(2, first.chain_)) == offer_result::applied);
    BOOST_CHECK(replica.offer_change(change_number(1, 0)) == offer_result::already_known);
    BOOST_CHECK(replica.offer_snapshot(first) == offer_result::already_known);
    BOOST_CHECK_EQUAL(replica.current()->generation_.value(), 2U);
}

BOOST_AUTO_TEST_CASE(change_with_a_missing_reference_is_refused)
{
    auto change = change_number(1, 0);
    change.content_ = state::profile{.name_ = state::profile_name{"p"},
                                     .versions_ = {state::version_key_from_text("none@1")}};
    BOOST_CHECK_THROW(coordination::configuration::check_change({}, change), state::error);
}

BOOST_AUTO_TEST_CASE(a_new_name_that_no_header_can_hold_is_refused)
{
    const auto is_refused = [](const state::configuration& before, state::change_content content) {
        auto change = change_number(1, 0);
        change.content_ = std::move(content);
        try {
            coordination::configuration::check_change(before, change);
        } catch (const state::error& fault) {
            return fault.kind() == state::error_kind::invalid_request;
        }
        return false;
    };
    const auto version = [](const std::string& model, const std::string& name) {
        return state::version_settings{
            .key_ = {.model_ = state::model_name{model}, .version_ = state::version_name{name}}};
    };
    const auto workspace = [](const std::string& id) {
        return state::workspace{.id_ = state::workspace_id{id}, .key_hash_ = "hash"};
    };
    BOOST_TEST(!is_refused({}, version("a b&c=d+e#f%41/g", "1\"b\\c@2")));
    BOOST_TEST(!is_refused({}, workspace("a b&c=d+e#f%41/g")));
    for (const auto* name : {"a\r\nX-Not-Run: true", "a\n", " a", "a ", "a\x01"}) {
        BOOST_TEST(is_refused({}, version("small", name)));
        BOOST_TEST(is_refused({}, version(name, "1")));
        BOOST_TEST(is_refused({}, workspace(name)));
    }
    BOOST_TEST(is_refused({}, version("a@b", "1")));
    // One that an earlier build accepted can still be withdrawn.
    auto before = state::configuration{};
    const auto existing = version("small", "a\n");
    before.versions_[existing.key_] = existing;
    BOOST_TEST(!is_refused(before, existing));
}

BOOST_AUTO_TEST_CASE(fair_queue_shares_by_weight)
{
    auto queue = coordination::admission::fair_queue{200};
    auto owner = std::map<state::request_handle, std::string>{};
    auto handle = state::request_handle{};
    for (auto round = 0; round < 30; ++round) {
        for (const auto& name : {std::string{"heavy"}, std::string{"light"}}) {
            handle = handle.next();
            owner[handle] = name;
            BOOST_REQUIRE(queue.try_push(state::workspace_id{name}, name == "heavy" ? 3 : 1, handle));
        }
    }
    auto served = std::map<std::string, int>{};
    for (auto round = 0; round < 24; ++round) {
        const auto next = queue.first(1).front();
        ++served[owner.at(next)];
        queue.take(next);
    }
    BOOST_CHECK_EQUAL(served["heavy"], 18);
    BOOST_CHECK_EQUAL(served["light"], 6);
}

BOOST_AUTO_TEST_CASE(full_queue_keeps_room_for_late_workspaces)
{
    auto queue = coordination::admission::fair_queue{10};
    auto handle = state::request_handle{};
    auto taken = 0;
    for (auto round = 0; round < 20; ++round) {
        handle = handle.next();
        taken += queue.try_push(state::workspace_id{"greedy"}, 1, handle) ? 1 : 0;
    }
    BOOST_CHECK_EQUAL(taken, 5);
    BOOST_CHECK(queue.try_push(state::workspace_id{"late"}, 1, handle.next()));
}

BOOST_AUTO_TEST_CASE(cascade_starts_where_the_expected_price_is_least)
{
    using coordination::cascade::cascade_step;
    auto steps = std::array{
        cascade_step{.expected_cost_ = 1, .expected_time_ = 1s, .pass_rate_ = 0.7},
        cascade_step{.expected_cost_ = 10, .expected_time_ = 1s, .pass_rate_ = 1.0},
    };
    const auto unhurried = coordination::cascade::plan_cascade(steps, 10s);
    BOOST_CHECK_EQUAL(unhurried->step_, 0U);
    BOOST_CHECK(unhurried->may_escalate_);
    BOOST_CHECK_CLOSE(unhurried->expected_cost_, 4.0, 0.001);
    // With 1.5 s there is no time for an escalation, so the expensive version is used directly.
    BOOST_CHECK_EQUAL(coordination::cascade::plan_cascade(steps, 1500ms)->step_, 1U);
    // A cheap version that rarely reaches the target is skipped.
    steps[0].pass_rate_ = 0.05;
    BOOST_CHECK_EQUAL(coordination::cascade::plan_cascade(steps, 10s)->step_, 1U);
}

BOOST_AUTO_TEST_CASE(planner_does_not_end_on_a_version_that_fails)
{
    using coordination::cascade::cascade_step;
    const auto poor = cascade_step{.expected_cost_ = 1000, .expected_time_ = 1s, .pass_rate_ = 0.02};
    const auto good = cascade_step{.expected_cost_ = 1000, .expected_time_ = 1s, .pass_rate_ = 0.90};
    const auto poor_first = std::array{poor, good};
    BOOST_CHECK_EQUAL(coordination::cascade::plan_cascade(poor_first, 10s)->step_, 1U);
    const auto good_first = std::array{good, poor};
    const auto choice = coordination::cascade::plan_cascade(good_first, 10s);
    BOOST_CHECK_EQUAL(choice->step_, 0U);
    BOOST_CHECK(!choice->may_escalate_);
    // A cheaper version whose answers nearly all miss the target saves nothing.
    auto cheaper = poor;
    cheaper.expected_cost_ = 10;
    const auto choice_of_cheaper = coordination::cascade::plan_cascade(std::array{cheaper, good}, 10s);
    BOOST_CHECK(choice_of_cheaper->step_ == 1U || choice_of_cheaper->may_escalate_);
}

BOOST_AUTO_TEST_CASE(relay_drops_late_chunks_and_finds_gaps)
{
    using coordination::answer::chunk_verdict;
    const auto first = state::attempt_handle{1};
    const auto second = state::attempt_handle{2};
    auto relay = coordination::answer::answer_relay{};
    relay.switch_to(first, 0);
    BOOST_CHECK(relay.judge(first, 0) == chunk_verdict::accept);
    relay.mark_released();
    relay.switch_to(second, 1);
    BOOST_CHECK(relay.judge(first, 1) == chunk_verdict::drop);
    BOOST_CHECK(relay.judge(second, 0) == chunk_verdict::drop);
    BOOST_CHECK(relay.judge(second, 2) == chunk_verdict::gap);
    BOOST_CHECK(relay.judge(second, 1) == chunk_verdict::accept);
    BOOST_CHECK(relay.is_complete(second, 2));
    BOOST_CHECK(!relay.is_complete(first, 2));
    BOOST_CHECK_THROW(relay.switch_to(second, 0), state::invariant_violation);
}

BOOST_AUTO_TEST_CASE(ledger_folds_copies_and_repetitions)
{
    auto folder = coordination::billing::bill_deduplicator{};
    for (const auto& record :
         {bill("r1", "b", 1, 20), bill("r1", "a", 1, 10), bill("r1", "b", 1, 20), bill("r2", "a", 2, 5)})
        folder.add(record);
    BOOST_CHECK_EQUAL(folder.bills().size(), 2U);
    BOOST_CHECK_EQUAL(folder.duplicates(), 2U);
    BOOST_CHECK_EQUAL(folder.bills().begin()->second.origin_.text(), "a");
}

BOOST_AUTO_TEST_CASE(backup_writes_only_when_its_primary_is_late)
{
    using coordination::billing::holder_role;
    const auto start = state::time_point{1h};
    auto book = coordination::billing::bill_table{state::instance_id{"b"}, state::incarnation{1}};
    BOOST_CHECK(book.try_add(bill("r1", "a", 1, 0), holder_role::backup, start));
    BOOST_CHECK(book.try_add(bill("r2", "a", 2, 0), holder_role::backup, start));
    BOOST_CHECK(!book.try_seal(start + 6s, false));
    book.release(coordination::billing::to_ranges({{.origin_ = state::instance_id{"a"}, .sequence_ = 1}}));
    BOOST_CHECK_EQUAL(book.size(), 1U);
    const auto segment = book.try_seal(start + 9s, false);
    BOOST_REQUIRE(segment);
    BOOST_CHECK_EQUAL(segment->records_.size(), 1U);
    BOOST_CHECK(!book.try_seal(start + 20s, false));
    book.mark_written();
    BOOST_CHECK_EQUAL(book.size(), 0U);
}

BOOST_AUTO_TEST_CASE(placement_prefers_the_prefix_until_the_load_is_uneven)
{
    auto table = coordination::placement::endpoint_table{};
    const auto now = state::time_point{1h};
    const auto version = state::version_key_from_text("small@1");
    auto endpoints = std::vector<state::endpoint>{};
    for (const auto* name : {"e1", "e2", "e3"})
        endpoints.push_back({.id_ = state::endpoint_id{name}, .versions_ = {version}, .slots_ = 8});
    table.update(endpoints, now);
    auto query = coordination::placement::placement_query{.version_ = version,
                                                          .prefix_ = state::content_fingerprint{5}};
    table.begin(state::endpoint_id{"e2"}, query);
    BOOST_CHECK_EQUAL(table.choose(query, now, 1)->text(), "e2");
    for (auto more = 0; more < 4; ++more)
        table.begin(state::endpoint_id{"e2"}, query);
    BOOST_CHECK_NE(table.choose(query, now, 1)->text(), "e2");
}

BOOST_AUTO_TEST_CASE(old_report_of_a_full_endpoint_expires)
{
    auto table = coordination::placement::endpoint_table{};
    const auto now = state::time_point{1h};
    const auto version = state::version_key_from_text("small@1");
    const auto id = state::endpoint_id{"e1"};
    table.update({{.id_ = id, .versions_ = {version}, .slots_ = 8}}, now);
    const auto query = coordination::placement::placement_query{.version_ = version};
    table.report_load(id, 16, now);
    BOOST_CHECK(!table.choose(query, now, 1));
    BOOST_CHECK(table.choose(query, now + 3s, 1) == id);
}

BOOST_AUTO_TEST_CASE(copies_are_placed_after_the_answer)
{
    struct port {
        std::vector<state::instance_id> sent_;
        int completed_{0};

        auto send_copy(const state::instance_id& holder, const state::bill_record& /*record*/) -> void
        {
            sent_.push_back(holder);
        }

        auto copies_complete(const state::bill_record& /*record*/, bool /*is_degraded*/) -> void
        {
            ++completed_;
        }
    };

    auto copies = port{};
    auto replicator = coordination::billing::bill_replicator<port>{copies};
    const auto own = state::instance_id{"a"};
    replicator.set_holders({own, state::instance_id{"b"}, state::instance_id{"c"}});
    auto now = state::time_point{1h};
    const auto record = bill("r", "a", 1, 1);
    const auto id = coordination::billing::id_of(record);
    // The other holders do not acknowledge for 5 s.
    replicator.add(record, now);
    replicator.acknowledge(id, own, now);
    for (auto step = 0; step < 500; ++step, now += 10ms)
        replicator.tick(now);
    BOOST_CHECK_EQUAL(copies.completed_, 1);
    BOOST_CHECK_EQUAL(replicator.pending(), 0U);
    BOOST_CHECK_LE(copies.sent_.size(), 15U);
    // Then all holders acknowledge.
    copies.sent_.clear();
    auto held = std::set<state::instance_id>{};
    for (auto step = 0; step < 500; ++step, now += 10ms) {
        replicator.tick(now);
        for (const auto& holder : std::exchange(copies.sent_, {})) {
            held.insert(holder);
            replicator.acknowledge(id, holder, now);
        }
    }
    BOOST_CHECK_EQUAL(held.size(), 2U);
    BOOST_CHECK_EQUAL(copies.completed_, 1);
}

BOOST_AUTO_TEST_CASE(full_endpoint_is_offered_fewer_requests)
{
    auto table = coordination::placement::endpoint_table{};
    const auto version = state::version_key_from_text("small@1");
    const auto id = state::endpoint_id{"e"};
    auto now = state::time_point{1h};
    table.update({{.id_ = id, .kind_ = state::endpoint_kind::engine, .versions_ = {version}, .slots_ = 16}},
                 now);
    const auto query = coordination::placement::placement_query{.version_ = version};
    // Requests of other routers occupy all slots for 5 s, so the endpoint declines every request.
    auto offered = 0;
    for (auto step = 0; step < 500; ++step, now += 10ms) {
        auto dispatched = 0;
        while (table.choose(query, now, 1)) {
            table.begin(id, query);
            ++dispatched;
        }
        for (auto call = 0; call < dispatched; ++call) {
            table.end(id, false);
            table.mark_full(id, now);
        }
        offered += dispatched;
    }
    BOOST_CHECK_LE(offered, 50);
    // Once the endpoint accepts requests again, it soon gets as many as it has slots.
    now += 1s;
    for (auto answer = 0; answer < 40; ++answer) {
        BOOST_REQUIRE(table.choose(query, now, 1));
        table.begin(id, query);
        table.end(id, false);
        table.mark_succeeded(id);
    }
    auto dispatched = 0;
    for (; table.choose(query, now, 1); ++dispatched)
        table.begin(id, query);
    BOOST_CHECK_GE(dispatched, 16);
}

BOOST_AUTO_TEST_CASE(sequential_test_keeps_its_error_rates)
{
    using namespace coordination::roll_out;
    constexpr auto runs = 400;
    constexpr auto max_answers = 4000;
    const auto settings = sequential_test_settings{};
    const auto base = evidence{.good_ = 9000, .bad_ = 1000};
    auto random = coordination::time::seeded_random{3};
    const auto wrong_share = [&](double bad_rate, sequential_test_verdict wrong) {
        auto wrong_verdicts = 0;
        for (auto run = 0; run < runs; ++run) {
            auto candidate = evidence{};
            auto verdict = sequential_test_verdict::undecided;
            for (auto answer = 0; answer < max_answers && verdict == sequential_test_verdict::undecided;
                 ++answer) {
                ++(random.chance(bad_rate) ? candidate.bad_ : candidate.good_);
                verdict = judge(base, candidate, settings);
            }
            wrong_verdicts += verdict == wrong ? 1 : 0;
        }
        return static_cast<double>(wrong_verdicts) / runs;
    };
    BOOST_CHECK_LE(wrong_share(0.10, sequential_test_verdict::worse), 2 * settings.false_halt_rate_);
    BOOST_CHECK_LE(wrong_share(0.20, sequential_test_verdict::no_worse), 2 * settings.false_pass_rate_);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

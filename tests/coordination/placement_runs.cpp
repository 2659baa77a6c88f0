// Simulates many routers that place prompts on endpoints, which process them one after the other.

#include "coordination/forwarding/endpoint_pool.hpp"
#include "coordination/forwarding/first_byte_forecast.hpp"
#include "coordination/forwarding/work_exchange.hpp"
#include "coordination/time/seeded_random.hpp"
#include "world/scheduler.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::tests {

namespace {

using namespace std::chrono_literals;
namespace forwarding = coordination::forwarding;

const auto service = state::service_name{"advisor"};
const auto model = state::model_name{"large"};
constexpr auto latency_objective = state::duration{3s};
constexpr auto shared_tokens = std::int64_t{13'300};
constexpr auto own_tokens = std::int64_t{3700};

struct placement_plan {
    std::size_t routers_{60};
    std::size_t endpoints_{30};
    std::size_t affinity_keys_{170};
    /// Requests per second over all routers.
    double rate_{75};
    /// Fraction of the requests that have one and the same affinity key.
    double hot_part_{0};
    bool shares_work_{true};
    bool learns_paces_{false};
    /// Whether the routers are told the speeds instead.
    bool knows_paces_{false};
    /// The endpoints' speeds by turns, in units of the usual one.
    std::vector<double> speeds_{1.0};
    /// When the first quarter of the endpoints drops to half of its speed; never if zero.
    state::duration slows_at_{0};
};

struct placement_result {
    std::int64_t requests_{0};
    std::int64_t in_time_{0};
    /// The same for the requests of the last twenty seconds.
    std::int64_t last_requests_{0};
    std::int64_t last_in_time_{0};
    /// The requests at each endpoint.
    std::map<state::endpoint_id, std::int64_t> at_endpoint_;
    /// Prompts whose shared prefix was not in the endpoint's cache.
    std::int64_t cache_misses_{0};

    auto late_part() const -> double
    {
        return 1.0 - static_cast<double>(in_time_) / static_cast<double>(requests_);
    }

    auto last_late_part() const -> double
    {
        return 1.0 - static_cast<double>(last_in_time_) / static_cast<double>(last_requests_);
    }
};

/// Routers that use the production endpoint_pool, and endpoints that process 17 tokens per millisecond, as
/// with the largest model, and cache shared prefixes.
class placement_run {
public:
    explicit placement_run(placement_plan plan) : plan_{plan}, routers_(plan.routers_)
    {
        auto listed = std::vector<state::registered_endpoint>{};
        for (auto number = std::size_t{0}; number < plan_.endpoints_; ++number)
            listed.push_back({.id_ = state::endpoint_id{"e" + std::to_string(number)},
                              .service_ = service,
                              .version_ = state::version_name{"v1"},
                              .slots_ = 64});
        for (auto& item : routers_) {
            item.pool_.update(listed);
            item.pool_.paces().set_endpoints(listed);
        }
    }

    auto run() -> placement_result
    {
        schedule_request();
        schedule_report();
        if (plan_.learns_paces_)
            schedule_pace_report();
        if (plan_.knows_paces_)
            tell_paces();
        time_.run_until(time_.now() + 40s);
        return result_;
    }

private:
    struct router {
        forwarding::endpoint_pool pool_;
        forwarding::first_byte_forecast forecast_;
        forwarding::first_byte_forecast streams_{0.995};
        forwarding::work_exchange work_;
        forwarding::endpoint_sum_exchange<forwarding::endpoint_pace_sums> paces_;
    };

    struct engine {
        state::time_point free_at_{};
        std::set<std::string> cached_prefixes_;
    };

    auto uniform() -> double { return static_cast<double>(random_.next() >> 11U) * 0x1.0p-53; }

    auto schedule_request() -> void
    {
        const auto gap = -std::log(1.0 - uniform()) / plan_.rate_;
        time_.after(state::duration{static_cast<state::duration::rep>(gap * 1e6)}, [this] {
            send_request();
            schedule_request();
        });
    }

    auto schedule_report() -> void
    {
        time_.after(240ms, [this] {
            if (plan_.shares_work_)
                report();
            schedule_report();
        });
    }

    auto report() -> void
    {
        for (auto from = std::size_t{0}; from < routers_.size(); ++from) {
            const auto sent = routers_[from].work_.report(routers_[from].pool_.own_work(), time_.now());
            for (auto to = std::size_t{0}; to < routers_.size(); ++to) {
                if (to != from)
                    routers_[to].work_.hear(state::instance_id{std::to_string(from)},
                                            forwarding::report_scope::own, sent.own_, time_.now());
            }
        }
        for (auto& item : routers_)
            item.pool_.set_remote_work(item.work_.remote(time_.now()));
    }

    /// Records the time between the events of a stream, which varies by what else the endpoint does.
    auto record_stream(router& from, const state::endpoint_id& endpoint) -> void
    {
        const auto variation = 0.5 + streams_random_.unit();
        const auto taken =
            std::chrono::duration_cast<state::duration>(500ms * (variation / speed_of(endpoint)));
        if (from.streams_.has_average("inquiry", model))
            from.pool_.paces().record(endpoint, taken, from.streams_.expected("inquiry", model, 1, 0ms));
        from.streams_.record("inquiry", model, 1, taken);
    }

    /// Each router reports to all others, as if all of them watched the store.
    auto schedule_pace_report() -> void
    {
        time_.after(1s, [this] {
            for (auto from = std::size_t{0}; from < routers_.size(); ++from) {
                auto& item = routers_[from];
                const auto sent = item.paces_.report(item.pool_.paces().own_sums(), time_.now());
                for (auto to = std::size_t{0}; to < routers_.size(); ++to) {
                    if (to != from)
                        routers_[to].paces_.hear(state::instance_id{std::to_string(from)},
                                                 forwarding::report_scope::own, sent.own_, time_.now());
                }
            }
            for (auto& item : routers_)
                item.pool_.paces().refresh(item.paces_.remote(time_.now()), time_.now());
            schedule_pace_report();
        });
    }

    auto tell_paces() -> void
    {
        auto sums = std::vector<forwarding::endpoint_pace_sums>{};
        for (auto number = std::size_t{0}; number < plan_.endpoints_; ++number) {
            const auto endpoint = state::endpoint_id{"e" + std::to_string(number)};
            constexpr auto much = state::duration{1000s};
            sums.push_back({.endpoint_ = endpoint,
                            .taken_ = std::chrono::duration_cast<state::duration>(much / speed_of(endpoint)),
                            .expected_ = much});
        }
        for (auto& item : routers_)
            item.pool_.paces().refresh(sums, time_.now());
    }

    auto speed_of(const state::endpoint_id& endpoint) const -> double
    {
        const auto number = std::stoull(endpoint.text().substr(1));
        const auto is_slowed = plan_.slows_at_ > 0s && time_.now() - started_ >= plan_.slows_at_ &&
                               number < plan_.endpoints_ / 4;
        return plan_.speeds_[number % plan_.speeds_.size()] * (is_slowed ? 0.5 : 1.0);
    }

    auto send_request() -> void
    {
        auto& from = routers_[random_.next() % routers_.size()];
        const auto affinity_key = uniform() < plan_.hot_part_
                                      ? std::string{"hot"}
                                      : std::to_string(random_.next() % plan_.affinity_keys_);
        constexpr auto tokens = shared_tokens + own_tokens;
        const auto choice = *from.pool_.choose(
            {.service_ = service,
             .affinity_ = affinity_key,
             .work_ = from.forecast_.expected("inquiry", model, tokens, 60us),
             .shared_work_ = from.forecast_.expected("inquiry", model, shared_tokens, 60us)},
            time_.now(), random_.next());
        const auto work = choice.work_;
        const auto queue = choice.expected_ - choice.work_;
        from.pool_.begin(choice.endpoint_, work, time_.now());
        auto& where = engines_[choice.endpoint_];
        const auto is_cached = !where.cached_prefixes_.insert(affinity_key).second;
        const auto reading = state::duration{static_cast<std::int64_t>(
            static_cast<double>(is_cached ? own_tokens : tokens) * 1000 / 17 / speed_of(choice.endpoint_))};
        const auto arrived = time_.now();
        where.free_at_ = std::max(where.free_at_, arrived) + reading;
        const auto is_last = arrived - started_ > 20s;
        ++result_.requests_;
        ++result_.at_endpoint_[choice.endpoint_];
        result_.last_requests_ += is_last ? 1 : 0;
        result_.cache_misses_ += is_cached ? 0 : 1;
        time_.after(where.free_at_ - arrived, [this, &from, choice, work, queue, arrived, is_last] {
            const auto taken = time_.now() - arrived;
            from.pool_.settle(choice.endpoint_, work);
            from.pool_.end(choice.endpoint_);
            from.forecast_.record("inquiry", model, tokens, std::max(taken - queue, taken / 4));
            if (plan_.learns_paces_)
                record_stream(from, choice.endpoint_);
            result_.in_time_ += taken <= latency_objective ? 1 : 0;
            result_.last_in_time_ += is_last && taken <= latency_objective ? 1 : 0;
        });
    }

    placement_plan plan_;
    world::scheduler time_;
    state::time_point started_{time_.now()};
    coordination::time::seeded_random random_{11};
    coordination::time::seeded_random streams_random_{12};
    std::vector<router> routers_;
    std::map<state::endpoint_id, engine> engines_;
    placement_result result_;
};

auto run_plan(placement_plan plan, const std::string& name) -> placement_result
{
    auto result = placement_run{plan}.run();
    BOOST_TEST_MESSAGE(name << ": requests " << result.requests_ << ", late " << result.late_part()
                            << ", after a while " << result.last_late_part() << ", cache misses "
                            << result.cache_misses_);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_runs)

/// Load pattern: 60 routers, each with a few prompts at a time, and endpoints close to their limit. Without
/// the exchange a router takes an endpoint with several seconds of queued work for an idle one.
BOOST_AUTO_TEST_CASE(routers_that_share_what_they_sent_have_fewer_late_answers)
{
    for (const auto rate : {60.0, 75.0}) {
        const auto without_exchange =
            run_plan({.rate_ = rate, .shares_work_ = false}, "without the exchange");
        const auto with_exchange = run_plan({.rate_ = rate}, "with the exchange");
        BOOST_TEST(with_exchange.late_part() < without_exchange.late_part() * 0.8);
    }
}

/// Load pattern: a fifth of the requests suddenly have the same affinity key. The target is 95 of 100 answers
/// in time.
BOOST_AUTO_TEST_CASE(a_hot_affinity_key_spreads_over_a_few_endpoints)
{
    const auto without_exchange =
        run_plan({.rate_ = 30, .hot_part_ = 0.2, .shares_work_ = false}, "hot, without the exchange");
    const auto with_exchange = run_plan({.rate_ = 30, .hot_part_ = 0.2}, "hot, with the exchange");
    BOOST_TEST(without_exchange.late_part() > 0.1);
    BOOST_TEST(with_exchange.late_part() < 0.05);
}

/// Load pattern: low load. Each affinity key stays on its preferred endpoint, which processes its prefix
/// once.
BOOST_AUTO_TEST_CASE(low_load_keeps_an_affinity_key_on_one_endpoint)
{
    const auto result = run_plan({.rate_ = 10}, "low load");
    BOOST_TEST(result.late_part() < 0.05);
    BOOST_TEST(static_cast<double>(result.cache_misses_) < 170 * 1.1);
}

/// Load pattern: endpoints of three speeds, 0.7, 0.7 and 1.7, that bear the load together and not in equal
/// parts.
BOOST_AUTO_TEST_CASE(endpoints_of_unequal_speed_get_what_they_take_well)
{
    for (const auto routers : {60U, 300U}) {
        const auto plan = placement_plan{.routers_ = routers, .rate_ = 60, .speeds_ = {0.7, 0.7, 1.7}};
        auto learning = plan;
        learning.learns_paces_ = true;
        auto knowing = plan;
        knowing.knows_paces_ = true;
        const auto alike = run_plan(plan, "unequal, all alike").last_late_part();
        const auto known = run_plan(knowing, "unequal, known beforehand").last_late_part();
        const auto learned = run_plan(learning, "unequal, learned").last_late_part();
        BOOST_TEST(known < alike);
        // At least half of what is gained by weights that are known beforehand.
        BOOST_TEST(learned < (alike + known) / 2);
    }
}

/// Load pattern: a quarter of the endpoints drops to half of its speed within a moment.
BOOST_AUTO_TEST_CASE(a_change_of_speed_is_followed_within_seconds)
{
    const auto plan = placement_plan{.rate_ = 60, .slows_at_ = 20s};
    auto learning = plan;
    learning.learns_paces_ = true;
    const auto alike = run_plan(plan, "slowed, all alike");
    const auto learned = run_plan(learning, "slowed, learned");
    BOOST_TEST(learned.last_late_part() < alike.last_late_part() * 0.8);
}

/// Load pattern: all endpoints are alike. What is learned must neither blame one nor move load to and fro.
BOOST_AUTO_TEST_CASE(endpoints_that_are_alike_are_used_alike)
{
    for (const auto speed : {1.0, 0.6}) {
        const auto plan = placement_plan{.rate_ = speed * 60, .speeds_ = {speed}};
        auto learning = plan;
        learning.learns_paces_ = true;
        const auto alike = run_plan(plan, "alike");
        const auto learned = run_plan(learning, "alike, learned");
        BOOST_TEST(learned.late_part() < alike.late_part() + 0.02);
        BOOST_TEST(static_cast<double>(learned.cache_misses_) <
                   static_cast<double>(alike.cache_misses_) * 1.3);
    }
}

/// A slow endpoint that got nothing would never be measured again.
BOOST_AUTO_TEST_CASE(every_endpoint_goes_on_to_get_requests)
{
    const auto result =
        run_plan({.rate_ = 40, .learns_paces_ = true, .speeds_ = {0.35, 1.2}}, "one in two very slow");
    for (const auto& [endpoint, requests] : result.at_endpoint_)
        BOOST_TEST(requests > 5);
    BOOST_TEST(result.at_endpoint_.size() == 30U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace buckthorndale::tests

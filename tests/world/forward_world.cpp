#include "world/forward_world.hpp"

#include <array>
#include <cmath>
#include <iterator>

namespace buckthorndale::tests::world {

namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

namespace {

using namespace std::chrono_literals;

const auto service = state::service_name{"desk"};
const auto good_version = state::version_name{"v1"};
const auto bad_version = state::version_name{"v2"};

constexpr auto objective = state::duration{300ms};
constexpr auto time_limit = state::duration{1500ms};
constexpr auto network_time = state::duration{2ms};
constexpr auto connect_limit = state::duration{250ms};
constexpr auto tick_interval = state::duration{20ms};
/// Ticks end requests a little after their deadline.
constexpr auto deadline_slack = state::duration{60ms};
constexpr auto longest_endpoint_queue = std::size_t{24};

auto make_route(const std::string& name, state::request_kind kind, std::int32_t attempts) -> state::route
{
    return {.name_ = name,
            .host_ = "h",
            .path_prefix_ = "/" + name + "/",
            .kind_ = kind,
            .time_limit_ = time_limit,
            .latency_objective_ = objective,
            .priority_ = kind == state::request_kind::safe ? 2 : 1,
            .max_attempts_ = attempts,
            .targets_ = {{.service_ = service}}};
}

} // namespace

struct forward_world::engine_holder {
    forwarding::forward_engine<virtual_clock, coordination::time::seeded_random, forward_world> engine_;
};

forward_world::forward_world(forward_plan plan) : plan_{plan}, random_{plan.seed_} {}

forward_world::~forward_world() = default;

auto forward_world::run() -> forward_result
{
    holder_ = std::make_unique<engine_holder>(
        engine_holder{{clock_, random_, *this,
                       forwarding::forward_settings{.limits_by_lateness_ = plan_.limits_by_lateness_}}});
    holder_->engine_.configure(make_table());
    holder_->engine_.set_fresh(true);
    for (auto i = std::size_t{0}; i < plan_.endpoints_; ++i)
        add_endpoint(good_version);
    if (plan_.has_bad_version_) {
        for (auto i = std::size_t{0}; i < plan_.endpoints_; ++i)
            add_endpoint(bad_version);
        holder_->engine_.update_roll_outs(
            {{.service_ = service, .target_ = bad_version, .time_allowed_ = 24s}});
    }
    publish();
    schedule_caller();
    schedule_tick();
    if (plan_.has_faults_)
        schedule_fault();
    const auto end = time_.now() + plan_.length_;
    time_.run_until(end);
    plan_.rate_ = 0;
    time_.run_until(end + 5s);
    for (const auto& [handle, item] : requests_) {
        if (!item.is_over_ && !item.has_left_)
            breach("a request got no final answer");
    }
    return result_;
}

auto forward_world::make_table() const -> std::shared_ptr<state::routing_table>
{
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{1};
    table->routes_ = {make_route("lookup", state::request_kind::safe, 2),
                      make_route("issue", state::request_kind::non_idempotent, 1)};
    return table;
}

auto forward_world::publish() -> void
{
    auto listed = std::vector<state::registered_endpoint>{};
    for (auto& [id, item] : endpoints_) {
        item.is_known_to_leave_ = item.listed_.is_draining_;
        listed.push_back(item.listed_);
    }
    holder_->engine_.update_endpoints(listed);
}

auto forward_world::add_endpoint(const state::version_name& version) -> void
{
    const auto id = state::endpoint_id{"e" + std::to_string(++last_endpoint_)};
    endpoints_[id].listed_ = {.id_ = id,
                              .service_ = service,
                              .address_ = {.host_ = "10.0.0.1", .port_ = 80},
                              .version_ = version,
                              .slots_ = plan_.slots_,
                              .registered_at_ = last_endpoint_};
}

auto forward_world::schedule_caller() -> void
{
    if (plan_.rate_ <= 0)
        return;
    const auto pause = -std::log(1.0 - random_.unit()) / plan_.rate_;
    time_.after(std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{pause}), [this] {
        if (plan_.rate_ <= 0)
            return;
        ask();
        schedule_caller();
    });
}

auto forward_world::schedule_tick() -> void
{
    time_.after(tick_interval, [this] {
        holder_->engine_.tick();
        schedule_tick();
    });
}

auto forward_world::ask() -> void
{
    last_request_ = last_request_.next();
    const auto handle = last_request_;
    const auto is_safe = random_.chance(0.5);
    auto& item = requests_[handle];
    item.kind_ = is_safe ? state::request_kind::safe : state::request_kind::non_idempotent;
    item.arrived_ = time_.now();
    item.objective_ = objective;
    item.deadline_ = time_.now() + time_limit;
    ++result_.asked_;
    auto asked = forwarding::forward_request{.id_ = state::request_id{std::to_string(handle.value())},
                                             .host_ = "h",
                                             .path_ = is_safe ? "/lookup/x" : "/issue/x",
                                             .content_ = state::content_fingerprint{handle.value()},
                                             .time_allowed_ = 3s};
    holder_->engine_.arrive(handle, std::move(asked));
    if (plan_.has_faults_ && random_.chance(0.05)) {
        time_.after(state::duration{static_cast<std::int64_t>(random_.below(200'000))}, [this, handle] {
            if (requests_.at(handle).is_over_)
                return;
            requests_.at(handle).has_left_ = true;
            holder_->engine_.caller_left(handle);
        });
    }
}

auto forward_world::schedule_fault() -> void
{
    time_.after(state::duration{static_cast<std::int64_t>(100'000 + random_.below(1'500'000))}, [this] {
        strike();
        schedule_fault();
    });
}

auto forward_world::strike() -> void
{
    auto chosen =
        std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(random_.below(endpoints_.size())));
    const auto id = chosen->first;
    if (random_.chance(0.2) && !chosen->second.listed_.is_draining_) {
        // It leaves, as the list says a little later; another one comes.
        chosen->second.listed_.is_draining_ = true;
        add_endpoint(chosen->second.listed_.version_);
        time_.after(state::duration{static_cast<std::int64_t>(random_.below(500'000))},
                    [this] { publish(); });
        return;
    }
    constexpr auto moods = std::array{endpoint_mood::dark, endpoint_mood::silent, endpoint_mood::declining,
                                      endpoint_mood::breaking};
    chosen->second.mood_ = moods.at(random_.below(moods.size()));
    time_.after(state::duration{static_cast<std::int64_t>(random_.below(3'000'000))},
                [this, id] { endpoints_.at(id).mood_ = endpoint_mood::well; });
}

auto forward_world::dispatch(const forwarding::forward_order& order) -> void
{
    auto& item = requests_.at(order.request_);
    auto& where = endpoints_.at(order.endpoint_);
    const auto handle = order.attempt_;
    attempts_.emplace(handle, endpoint_attempt{.order_ = order});
    if (item.is_over_ || item.has_left_)
        breach("work was sent for a request that was over");
    if (where.is_known_to_leave_)
        breach("a leaving endpoint got new work");
    result_.retries_ += item.sends_++ > 0 ? 1 : 0;
    if (where.mood_ == endpoint_mood::dark) {
        time_.after(connect_limit, [this, handle] { tell(handle, forward_outcome::not_sent); });
        return;
    }
    if (where.mood_ == endpoint_mood::declining || where.waiting_.size() >= longest_endpoint_queue) {
        time_.after(network_time, [this, handle] { tell(handle, forward_outcome::declined); });
        return;
    }
    where.waiting_.push_back(handle);
    begin_waiting(where);
}

auto forward_world::begin_waiting(fake_endpoint_state& where) -> void
{
    while (where.busy_ < plan_.slots_ && !where.waiting_.empty()) {
        const auto handle = where.waiting_.front();
        where.waiting_.pop_front();
        if (!attempts_.at(handle).is_cancelled_)
            begin_work(where, handle);
    }
}

auto forward_world::begin_work(fake_endpoint_state& where, state::attempt_handle handle) -> void
{
    auto& running = attempts_.at(handle);
    auto& item = requests_.at(running.order_.request_);
    running.is_running_ = true;
    ++where.busy_;
    ++item.runs_;
    result_.exposed_ += where.listed_.version_ == bad_version ? 1 : 0;
    if (item.kind_ == state::request_kind::non_idempotent && item.runs_ > 1)
        breach("a request that may not be repeated ran twice");
    const auto id = where.listed_.id_;
    if (where.mood_ == endpoint_mood::silent)
        return;
    const auto work = plan_.work_ / 2 + state::duration{static_cast<std::int64_t>(
                                            random_.below(static_cast<std::uint64_t>(plan_.work_.count())))};
    time_.after(work, [this, id, handle] { end_work(id, handle); });
}

auto forward_world::end_work(state::endpoint_id where, state::attempt_handle handle) -> void
{
    auto& at = endpoints_.at(where);
    --at.busy_;
    begin_waiting(at);
    if (attempts_.at(handle).is_cancelled_)
        return;
    if (at.mood_ == endpoint_mood::breaking) {
        tell(handle, forward_outcome::broken);
        return;
    }
    if (at.listed_.version_ == bad_version && random_.chance(0.5)) {
        tell(handle, forward_outcome::failed);
        return;
    }
    holder_->engine_.head_arrived({.attempt_ = handle});
    tell(handle, forward_outcome::whole);
}

auto forward_world::tell(state::attempt_handle handle, forward_outcome outcome) -> void
{
    if (!attempts_.at(handle).is_cancelled_)
        holder_->engine_.attempt_ended({.attempt_ = handle, .outcome_ = outcome});
}

auto forward_world::cancel(state::attempt_handle handle) -> void
{
    auto& item = attempts_.at(handle);
    item.is_cancelled_ = true;
    auto& where = endpoints_.at(item.order_.endpoint_);
    // A silent endpoint's slot is free once the connection is closed.
    if (item.is_running_ && where.mood_ == endpoint_mood::silent) {
        --where.busy_;
        begin_waiting(where);
    }
}

auto forward_world::release(state::request_handle /*request*/, state::attempt_handle /*attempt*/) -> void {}

auto forward_world::finish(state::request_handle handle, state::attempt_handle /*attempt*/) -> void
{
    auto& item = requests_.at(handle);
    if (item.is_over_)
        breach("a request was answered twice");
    item.is_over_ = true;
    const auto is_in_time = time_.now() - item.arrived_ <= item.objective_;
    ++(is_in_time ? result_.in_time_ : result_.late_);
}

auto forward_world::refuse(state::request_handle handle, const coordination::routing::refusal& why) -> void
{
    auto& item = requests_.at(handle);
    if (item.is_over_)
        breach("a request was answered twice");
    item.is_over_ = true;
    ++result_.refused_;
    if (why.run_ == coordination::routing::run_state::not_run && item.runs_ > 0)
        breach("a request that ran was refused as not run");
    if (why.run_ == coordination::routing::run_state::not_run && why.retry_after_ <= state::duration::zero())
        breach("a refusal names no time to come back");
    if (time_.now() > item.deadline_ + deadline_slack)
        breach("a request was held past its deadline");
}

auto forward_world::announce_crash(const state::endpoint_id& /*endpoint*/,
                                   state::content_fingerprint /*content*/) -> void
{}

auto forward_world::log(const forwarding::forward_log& /*line*/) -> void {}

} // namespace buckthorndale::tests::world

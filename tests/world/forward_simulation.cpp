#include "world/forward_simulation.hpp"

#include <array>
#include <cmath>
#include <iterator>
#include <utility>

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
constexpr auto connect_timeout = state::duration{250ms};
constexpr auto tick_interval = state::duration{20ms};
/// Requests end at the first tick after their deadline, so slightly late.
constexpr auto deadline_slack = state::duration{60ms};
constexpr auto max_endpoint_queue = std::size_t{24};

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

struct forward_simulation::engine_holder {
    forwarding::forward_engine<virtual_clock, coordination::time::seeded_random, forward_simulation> engine_;
};

forward_simulation::forward_simulation(forward_plan plan) : plan_{plan}, random_{plan.seed_} {}

forward_simulation::~forward_simulation() = default;

auto forward_simulation::run() -> forward_result
{
    holder_ = std::make_unique<engine_holder>(
        engine_holder{{clock_, random_, *this,
                       forwarding::forward_settings{.uses_latency_window_ = plan_.uses_latency_window_}}});
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
    const auto end = time_.now() + plan_.duration_;
    time_.run_until(end);
    plan_.rate_ = 0;
    time_.run_until(end + 5s);
    for (const auto& [handle, item] : requests_) {
        if (!item.is_over_ && !item.has_left_)
            record_violation("a request got no final response");
    }
    return result_;
}

auto forward_simulation::make_table() const -> std::shared_ptr<state::routing_table>
{
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{1};
    table->routes_ = {make_route("lookup", state::request_kind::safe, 2),
                      make_route("issue", state::request_kind::non_idempotent, 1)};
    return table;
}

auto forward_simulation::publish() -> void
{
    auto listed = std::vector<state::registered_endpoint>{};
    for (auto& [id, item] : endpoints_) {
        item.is_known_to_leave_ = item.listed_.is_draining_;
        if (item.is_listed_)
            listed.push_back(item.listed_);
    }
    holder_->engine_.update_endpoints(listed);
}

auto forward_simulation::add_endpoint(const state::version_name& version) -> void
{
    const auto id = state::endpoint_id{"e" + std::to_string(++last_endpoint_)};
    endpoints_[id].listed_ = {.id_ = id,
                              .service_ = service,
                              .address_ = {.host_ = "10.0.0.1", .port_ = 80},
                              .version_ = version,
                              .slots_ = plan_.slots_,
                              .registered_at_ = last_endpoint_};
}

auto forward_simulation::schedule_caller() -> void
{
    if (plan_.rate_ <= 0)
        return;
    const auto pause = -std::log(1.0 - random_.unit()) / plan_.rate_;
    time_.after(std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{pause}), [this] {
        if (plan_.rate_ <= 0)
            return;
        send_request();
        schedule_caller();
    });
}

auto forward_simulation::schedule_tick() -> void
{
    time_.after(tick_interval, [this] {
        holder_->engine_.tick();
        schedule_tick();
    });
}

auto forward_simulation::send_request() -> void
{
    last_request_ = last_request_.next();
    const auto handle = last_request_;
    const auto is_safe = random_.chance(0.5);
    auto& item = requests_[handle];
    item.kind_ = is_safe ? state::request_kind::safe : state::request_kind::non_idempotent;
    item.arrived_ = time_.now();
    item.objective_ = objective;
    item.deadline_ = time_.now() + time_limit;
    ++result_.sent_;
    auto request = forwarding::forward_request{.id_ = state::request_id{std::to_string(handle.value())},
                                               .host_ = "h",
                                               .path_ = is_safe ? "/lookup/x" : "/issue/x",
                                               .content_ = state::content_fingerprint{handle.value()},
                                               .time_allowed_ = 3s};
    holder_->engine_.arrive(handle, std::move(request));
    if (plan_.has_faults_ && random_.chance(0.05)) {
        time_.after(state::duration{static_cast<std::int64_t>(random_.below(200'000))}, [this, handle] {
            if (requests_.at(handle).is_over_)
                return;
            requests_.at(handle).has_left_ = true;
            holder_->engine_.caller_left(handle);
        });
    }
}

auto forward_simulation::schedule_fault() -> void
{
    time_.after(state::duration{static_cast<std::int64_t>(100'000 + random_.below(1'500'000))}, [this] {
        inject_fault();
        schedule_fault();
    });
}

auto forward_simulation::inject_fault() -> void
{
    auto chosen =
        std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(random_.below(endpoints_.size())));
    const auto id = chosen->first;
    if (plan_.has_notices_ && random_.chance(0.5)) {
        inject_notice(id);
        return;
    }
    if (random_.chance(0.2) && !chosen->second.listed_.is_draining_) {
        // The endpoint leaves and is replaced; the engine learns of it up to 500 ms later.
        chosen->second.listed_.is_draining_ = true;
        add_endpoint(chosen->second.listed_.version_);
        time_.after(state::duration{static_cast<std::int64_t>(random_.below(500'000))},
                    [this] { publish(); });
        return;
    }
    constexpr auto conditions = std::array{endpoint_condition::unreachable, endpoint_condition::silent,
                                           endpoint_condition::declining, endpoint_condition::breaking};
    chosen->second.condition_ = conditions.at(random_.below(conditions.size()));
    time_.after(state::duration{static_cast<std::int64_t>(random_.below(3'000'000))},
                [this, id] { endpoints_.at(id).condition_ = endpoint_condition::healthy; });
}

auto forward_simulation::inject_notice(const state::endpoint_id& id) -> void
{
    auto& chosen = endpoints_.at(id);
    if (random_.chance(0.5)) {
        chosen.condition_ = endpoint_condition::pausing;
        time_.after(state::duration{static_cast<std::int64_t>(random_.below(2'000'000))},
                    [this, id] { endpoints_.at(id).condition_ = endpoint_condition::healthy; });
        return;
    }
    if (chosen.is_leaving_ || chosen.listed_.is_draining_)
        return;
    // The store lists the endpoint as ready, loses its entry, and lists it again from an older copy. Half of
    // the endpoints start again later.
    chosen.is_leaving_ = true;
    chosen.listed_.incarnation_ = 1;
    add_endpoint(chosen.listed_.version_);
    publish();
    const auto set_listed = [this, id](bool is_listed) {
        endpoints_.at(id).is_listed_ = is_listed;
        publish();
    };
    time_.after(500ms, [set_listed] { set_listed(false); });
    time_.after(1s, [set_listed] { set_listed(true); });
    time_.after(4s, [this, id, set_listed, starts_again = random_.chance(0.5)] {
        auto& item = endpoints_.at(id);
        item.is_leaving_ = item.has_announced_leaving_ = !starts_again;
        item.listed_.incarnation_ += starts_again ? 1 : 0;
        set_listed(starts_again);
    });
}

auto forward_simulation::deliver_notice(state::attempt_handle handle) -> void
{
    const auto& id = attempts_.at(handle).command_.endpoint_;
    auto& where = endpoints_.at(id);
    if (!where.is_leaving_)
        return;
    result_.announced_ += std::exchange(where.has_announced_leaving_, true) ? 0 : 1;
    holder_->engine_.response_headers_received(
        {.attempt_ = handle, .endpoint_ = id, .notice_ = {.is_leaving_ = true}, .is_success_ = false});
}

auto forward_simulation::ask_for_pause(state::attempt_handle handle) -> void
{
    // By the users' rule the pause binds from half a second after the response.
    constexpr auto allowed_time = state::duration{500ms};
    const auto& id = attempts_.at(handle).command_.endpoint_;
    const auto pause = state::duration{static_cast<std::int64_t>(200'000 + random_.below(3'000'000))};
    endpoints_.at(id).pauses_.push_back(
        {.begins_at_ = time_.now() + allowed_time, .ends_at_ = time_.now() + pause});
    ++result_.pauses_;
    holder_->engine_.response_headers_received(
        {.attempt_ = handle, .endpoint_ = id, .notice_ = {.pause_ = pause}, .is_success_ = false});
    if (attempts_.at(handle).is_cancelled_)
        return;
    const auto outcome = random_.chance(0.5) ? forward_outcome::declined : forward_outcome::failed;
    holder_->engine_.attempt_ended({.attempt_ = handle, .outcome_ = outcome, .has_asked_for_pause_ = true});
}

auto forward_simulation::check_notices(fake_endpoint_state& where) -> void
{
    constexpr auto max_requests_in_pause = 2;
    if (where.has_announced_leaving_)
        record_violation("an endpoint that had announced its shutdown got a new request");
    for (auto& pause : where.pauses_) {
        const auto is_in_pause = time_.now() > pause.begins_at_ && time_.now() < pause.ends_at_;
        if (is_in_pause && ++pause.requests_ > max_requests_in_pause)
            record_violation("an endpoint that had asked for a pause got more than two requests");
    }
}

auto forward_simulation::dispatch(const forwarding::forward_command& command) -> void
{
    auto& item = requests_.at(command.request_);
    auto& where = endpoints_.at(command.endpoint_);
    const auto handle = command.attempt_;
    attempts_.emplace(handle, endpoint_attempt{.command_ = command});
    if (item.is_over_ || item.has_left_)
        record_violation("an attempt was dispatched for a request that had ended");
    if (where.is_known_to_leave_)
        record_violation("an attempt was dispatched to an endpoint known to be leaving");
    check_notices(where);
    result_.retries_ += item.sends_++ > 0 ? 1 : 0;
    if (where.condition_ == endpoint_condition::unreachable) {
        time_.after(connect_timeout, [this, handle] { report_outcome(handle, forward_outcome::not_sent); });
        return;
    }
    if (where.condition_ == endpoint_condition::pausing) {
        time_.after(network_time, [this, handle] { ask_for_pause(handle); });
        return;
    }
    if (where.condition_ == endpoint_condition::declining || where.waiting_.size() >= max_endpoint_queue) {
        time_.after(network_time, [this, handle] { report_outcome(handle, forward_outcome::declined); });
        return;
    }
    where.waiting_.push_back(handle);
    begin_waiting(where);
}

auto forward_simulation::begin_waiting(fake_endpoint_state& where) -> void
{
    while (where.busy_ < plan_.slots_ && !where.waiting_.empty()) {
        const auto handle = where.waiting_.front();
        where.waiting_.pop_front();
        if (!attempts_.at(handle).is_cancelled_)
            begin_work(where, handle);
    }
}

auto forward_simulation::begin_work(fake_endpoint_state& where, state::attempt_handle handle) -> void
{
    auto& running = attempts_.at(handle);
    auto& item = requests_.at(running.command_.request_);
    running.is_running_ = true;
    ++where.busy_;
    ++item.runs_;
    result_.bad_version_runs_ += where.listed_.version_ == bad_version ? 1 : 0;
    if (item.kind_ == state::request_kind::non_idempotent && item.runs_ > 1)
        record_violation("a non-idempotent request ran twice");
    const auto id = where.listed_.id_;
    if (where.condition_ == endpoint_condition::silent)
        return;
    const auto work = plan_.work_ / 2 + state::duration{static_cast<std::int64_t>(
                                            random_.below(static_cast<std::uint64_t>(plan_.work_.count())))};
    time_.after(work, [this, id, handle] { end_work(id, handle); });
}

auto forward_simulation::end_work(state::endpoint_id where, state::attempt_handle handle) -> void
{
    auto& at = endpoints_.at(where);
    --at.busy_;
    begin_waiting(at);
    if (attempts_.at(handle).is_cancelled_)
        return;
    if (at.condition_ == endpoint_condition::breaking) {
        report_outcome(handle, forward_outcome::broken);
        return;
    }
    if (at.listed_.version_ == bad_version && random_.chance(0.5)) {
        report_outcome(handle, forward_outcome::failed);
        return;
    }
    holder_->engine_.response_headers_received({.attempt_ = handle});
    report_outcome(handle, forward_outcome::complete);
}

auto forward_simulation::report_outcome(state::attempt_handle handle, forward_outcome outcome) -> void
{
    if (outcome != forward_outcome::not_sent && outcome != forward_outcome::broken)
        deliver_notice(handle);
    if (!attempts_.at(handle).is_cancelled_)
        holder_->engine_.attempt_ended({.attempt_ = handle, .outcome_ = outcome});
}

auto forward_simulation::cancel(state::attempt_handle handle) -> void
{
    auto& item = attempts_.at(handle);
    item.is_cancelled_ = true;
    auto& where = endpoints_.at(item.command_.endpoint_);
    // Closing the connection frees the slot of a hanging endpoint.
    if (item.is_running_ && where.condition_ == endpoint_condition::silent) {
        --where.busy_;
        begin_waiting(where);
    }
}

auto forward_simulation::release(state::request_handle /*request*/, state::attempt_handle /*attempt*/) -> void
{}

auto forward_simulation::finish(state::request_handle handle, state::attempt_handle /*attempt*/) -> void
{
    auto& item = requests_.at(handle);
    if (item.is_over_)
        record_violation("a request got two final responses");
    item.is_over_ = true;
    const auto is_in_time = time_.now() - item.arrived_ <= item.objective_;
    ++(is_in_time ? result_.in_time_ : result_.late_);
}

auto forward_simulation::refuse(state::request_handle handle, const coordination::routing::refusal& why)
    -> void
{
    auto& item = requests_.at(handle);
    if (item.is_over_)
        record_violation("a request got two final responses");
    item.is_over_ = true;
    ++result_.refused_;
    if (why.run_ == coordination::routing::run_state::not_run && item.runs_ > 0)
        record_violation("a request that had run was refused as not run");
    if (why.run_ == coordination::routing::run_state::not_run && why.retry_after_ <= state::duration::zero())
        record_violation("a refusal without a run names no time to retry after");
    if (time_.now() > item.deadline_ + deadline_slack)
        record_violation("a request was held past its deadline");
}

auto forward_simulation::probe(const state::endpoint_id& endpoint, const state::network_address& /*address*/,
                               const std::string& /*path*/) -> void
{
    time_.after(std::chrono::milliseconds{1}, [this, endpoint] {
        const auto found = endpoints_.find(endpoint);
        const auto is_reachable =
            found != endpoints_.end() && found->second.condition_ != endpoint_condition::unreachable;
        holder_->engine_.endpoint_probed(endpoint, is_reachable);
    });
}

auto forward_simulation::announce_limits(const forwarding::limit_message& /*message*/) -> void {}

auto forward_simulation::ask_for_permits(const forwarding::limit_message& /*message*/) -> void {}

auto forward_simulation::send_limits(const state::instance_id& /*to*/,
                                     const forwarding::limit_message& /*message*/) -> void
{}

auto forward_simulation::announce_crash(const forwarding::crash_notice& /*crash*/) -> void {}

auto forward_simulation::announce_cleared_parts(const std::vector<forwarding::cleared_part>& /*cleared*/)
    -> void
{}

auto forward_simulation::announce_blocked_parts(
    const std::vector<coordination::suspicion::blocked_part>& /*blocked*/) -> void
{}

auto forward_simulation::announce_leaving(const forwarding::leaving_endpoint& /*leaving*/) -> void {}

auto forward_simulation::log(const forwarding::forward_log& /*line*/) -> void {}

} // namespace buckthorndale::tests::world

#include "world/crashing_part_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorndale::tests::world {

namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

namespace {

using namespace std::chrono_literals;

const auto service = state::service_name{"advice"};
constexpr auto tick_interval = state::duration{20ms};
/// Blocked parts are reported once a second.
constexpr auto ticks_per_report = std::uint64_t{50};
constexpr auto peers_per_report = 3;
constexpr auto network_time = state::duration{1ms};
/// How long an instance takes to see that a broken connection's endpoint accepts no other.
constexpr auto crash_detection_time = state::duration{3ms};
/// From the response headers to the crash.
constexpr auto time_to_crash = state::duration{40ms};
constexpr auto endpoint_down_time = state::duration{3s};
/// The users' windows.
constexpr auto stable_window = state::duration{3s};
constexpr auto fifth = std::size_t{5};

auto make_table() -> std::shared_ptr<state::routing_table>
{
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{1};
    table->routes_ = {{.name_ = "inquiry",
                       .host_ = "h",
                       .path_prefix_ = "/",
                       .kind_ = state::request_kind::stream,
                       .time_limit_ = 15s,
                       .latency_objective_ = 3s,
                       .max_attempts_ = 3,
                       .is_resumable_ = true,
                       .targets_ = {{.service_ = service}}}};
    return table;
}

} // namespace

/// What an engine asks for.
struct crashing_part_fleet::engine_port {
    auto dispatch(const forwarding::forward_command& command) -> void { fleet_.dispatch(number_, command); }

    auto cancel(state::attempt_handle handle) -> void { fleet_.cancel(handle, number_); }

    auto release(state::request_handle /*request*/, state::attempt_handle /*attempt*/) -> void {}

    auto finish(state::request_handle request, state::attempt_handle /*attempt*/) -> void
    {
        fleet_.finish(request, true, "");
    }

    auto refuse(state::request_handle request, const coordination::routing::refusal& why) -> void
    {
        fleet_.finish(request, false, why.detail_);
    }

    auto announce_crash(const forwarding::crash_notice& crash) -> void;
    auto announce_cleared_parts(const std::vector<forwarding::cleared_part>& cleared) -> void;
    auto announce_blocked_parts(const std::vector<coordination::suspicion::blocked_part>& blocked) -> void;

    auto identify(const state::endpoint_id& /*endpoint*/, const state::network_address& /*address*/,
                  const std::string& /*path*/) -> void
    {}

    auto probe(const state::endpoint_id& endpoint, const state::network_address& /*address*/,
               const std::string& /*path*/) -> void
    {
        fleet_.probe(number_, endpoint);
    }

    auto announce_limits(const forwarding::limit_message& /*message*/) -> void {}

    auto ask_for_permits(const forwarding::limit_message& /*message*/) -> void {}

    auto send_limits(const state::instance_id& /*to*/, const forwarding::limit_message& /*message*/) -> void
    {}

    auto announce_leaving(const forwarding::leaving_endpoint& /*leaving*/) -> void {}

    auto log(const forwarding::forward_log& /*line*/) -> void {}

    crashing_part_fleet& fleet_;
    std::size_t number_;
};

struct crashing_part_fleet::instance {
    instance(crashing_part_fleet& fleet, std::size_t number, std::uint64_t start)
        : start_{start}, started_{fleet.time_.now()}, random_{fleet.random_.next()}, port_{fleet, number},
          engine_{fleet.clock_, random_, port_, forwarding::forward_settings{}}
    {}

    std::uint64_t start_;
    state::time_point started_;
    coordination::time::seeded_random random_;
    engine_port port_;
    forwarding::forward_engine<virtual_clock, coordination::time::seeded_random, engine_port> engine_;
};

auto crashing_part_fleet::engine_port::announce_crash(const forwarding::crash_notice& crash) -> void
{
    fleet_.tell_others(number_, [crash](instance& other) { other.engine_.record_remote_crash(crash); });
}

auto crashing_part_fleet::engine_port::announce_cleared_parts(
    const std::vector<forwarding::cleared_part>& cleared) -> void
{
    fleet_.tell_others(number_, [cleared](instance& other) {
        for (const auto& item : cleared)
            other.engine_.record_remote_cleared_part(item);
    });
}

auto crashing_part_fleet::engine_port::announce_blocked_parts(
    const std::vector<coordination::suspicion::blocked_part>& blocked) -> void
{
    fleet_.tell_others(number_, [blocked](instance& other) {
        for (const auto& item : blocked)
            other.engine_.record_remote_blocked_part(item);
    });
}

crashing_part_fleet::crashing_part_fleet(crashing_part_plan plan)
    : plan_{plan}, random_{plan.seed_}, started_{time_.now()}
{}

crashing_part_fleet::~crashing_part_fleet() = default;

auto crashing_part_fleet::run() -> crashing_part_result
{
    for (auto i = std::size_t{0}; i < plan_.endpoints_; ++i)
        endpoints_.push_back({.id_ = state::endpoint_id{"e" + std::to_string(i) + "-0"}});
    instances_.resize(plan_.instances_);
    for (auto i = std::size_t{0}; i < plan_.instances_; ++i) {
        start_instance(i);
        schedule_tick(i);
    }
    schedule_requests(plan_.rate_, false);
    if (plan_.guilty_share_ > 0)
        time_.after(plan_.guilty_from_,
                    [this] { schedule_requests(plan_.rate_ * plan_.guilty_share_, true); });
    if (plan_.other_crashes_ > 0)
        schedule_other_crashes();
    if (plan_.has_restarts_)
        schedule_restarts();
    time_.run_until(started_ + plan_.duration_);
    return result_;
}

auto crashing_part_fleet::time_until(double mean_seconds) -> state::duration
{
    const auto seconds = -std::log(1.0 - random_.unit()) * mean_seconds;
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{seconds});
}

auto crashing_part_fleet::schedule_requests(double rate, bool is_guilty) -> void
{
    time_.after(time_until(1.0 / rate), [this, rate, is_guilty] {
        if (is_guilty && time_.now() > started_ + plan_.guilty_from_ + plan_.guilty_for_)
            return;
        send_request(is_guilty);
        schedule_requests(rate, is_guilty);
    });
}

auto crashing_part_fleet::schedule_other_crashes() -> void
{
    time_.after(time_until(5.0), [this] {
        const auto first = random_.below(endpoints_.size());
        for (auto i = std::size_t{0}; i < plan_.other_crashes_; ++i)
            crash((first + i) % endpoints_.size());
        schedule_other_crashes();
    });
}

auto crashing_part_fleet::schedule_restarts() -> void
{
    time_.after(time_until(2.0), [this] {
        start_instance(random_.below(instances_.size()));
        schedule_restarts();
    });
}

auto crashing_part_fleet::start_instance(std::size_t where) -> void
{
    auto& known = instances_.at(where);
    const auto start = known ? known->start_ + 1 : 0;
    // What the instance had in progress ends with it.
    for (auto& item : attempts_) {
        if (item.instance_ == where)
            item.is_over_ = true;
    }
    known = std::make_unique<instance>(*this, where, start);
    known->engine_.configure(make_table());
    known->engine_.set_fresh(true);
    known->engine_.update_roll_outs({});
    publish();
}

auto crashing_part_fleet::schedule_tick(std::size_t where) -> void
{
    time_.after(tick_interval, [this, where] {
        instances_.at(where)->engine_.tick();
        if (++ticks_ % (ticks_per_report * instances_.size()) < instances_.size())
            report_blocked_parts(where);
        schedule_tick(where);
    });
}

auto crashing_part_fleet::report_blocked_parts(std::size_t where) -> void
{
    const auto blocked = instances_.at(where)->engine_.blocked_parts();
    for (auto i = 0; i < peers_per_report && !blocked.empty(); ++i) {
        const auto other = random_.below(instances_.size());
        time_.after(network_time, [this, other, blocked] {
            for (const auto& item : blocked)
                instances_.at(other)->engine_.record_remote_blocked_part(item);
        });
    }
}

auto crashing_part_fleet::publish() -> void
{
    auto listed = std::vector<state::registered_endpoint>{};
    for (const auto& item : endpoints_) {
        if (item.is_up_)
            listed.push_back({.id_ = item.id_,
                              .service_ = service,
                              .address_ = {.host_ = "10.0.0.1", .port_ = 80},
                              .version_ = state::version_name{"v1"},
                              .slots_ = 64,
                              .registered_at_ = item.starts_ + 1});
    }
    for (const auto& item : instances_) {
        if (item)
            item->engine_.update_endpoints(listed);
    }
}

auto crashing_part_fleet::send_request(bool is_guilty) -> void
{
    const auto handle = state::request_handle{requests_.size() + 1};
    auto parts = std::vector<forwarding::prompt_part>{
        {.id_ = "first-" + std::to_string(random_.below(plan_.first_parts_)),
         .tokens_ = state::token_count{800}},
        {.id_ = "second-" + std::to_string(random_.below(plan_.second_parts_)),
         .tokens_ = state::token_count{400}},
        {.id_ = "own-" + std::to_string(handle.value()), .tokens_ = state::token_count{200}}};
    if (is_guilty)
        parts.at(plan_.guilty_position_).id_ = "guilty";
    auto& item = requests_[handle];
    item.is_guilty_ = is_guilty;
    const auto now = time_.now();
    const auto guilty_end = started_ + plan_.guilty_from_ + plan_.guilty_for_;
    const auto has_fifth = crashes_.size() >= fifth;
    item.is_counted_late_ =
        !is_guilty && has_fifth && now > crashes_[fifth - 1] + 2 * stable_window && now < guilty_end;
    item.is_counted_early_ = !is_guilty && now < started_ + plan_.guilty_from_;
    result_.late_sound_ += item.is_counted_late_ ? 1 : 0;
    result_.early_sound_ += item.is_counted_early_ ? 1 : 0;
    instances_.at(random_.below(instances_.size()))
        ->engine_.arrive(handle, {.id_ = state::request_id{std::to_string(handle.value())},
                                  .host_ = "h",
                                  .path_ = "/x",
                                  .content_ = state::content_fingerprint{handle.value()},
                                  .time_allowed_ = 15s,
                                  .prompt_tokens_ = state::token_count{1400},
                                  .prompt_ = std::move(parts)});
}

auto crashing_part_fleet::dispatch(std::size_t where, const forwarding::forward_command& command) -> void
{
    const auto found = std::ranges::find(endpoints_, command.endpoint_, &fake_endpoint::id_);
    const auto number = attempts_.size();
    attempts_.push_back(
        {.instance_ = where, .instance_start_ = instances_.at(where)->start_, .command_ = command});
    if (found == endpoints_.end() || !found->is_up_) {
        end_attempt(number, forward_outcome::not_sent, network_time);
        return;
    }
    attempts_.back().endpoint_ = static_cast<std::size_t>(found - endpoints_.begin());
    attempts_.back().endpoint_start_ = found->starts_;
    const auto is_guilty = requests_.at(command.request_).is_guilty_;
    const auto is_in_touch =
        instances_.at(where)->start_ == 0 || time_.now() - instances_.at(where)->started_ > stable_window;
    const auto has_fifth = crashes_.size() >= fifth;
    if (is_guilty && is_in_touch && has_fifth && time_.now() > crashes_[fifth - 1] + stable_window)
        ++result_.late_guilty_sends_;
    const auto prefill = state::duration{150ms} + time_until(0.3);
    time_.after(prefill, [this, number] { begin_answer(number); });
}

auto crashing_part_fleet::probe(std::size_t where, const state::endpoint_id& endpoint) -> void
{
    time_.after(network_time, [this, where, endpoint] {
        const auto found = std::ranges::find(endpoints_, endpoint, &fake_endpoint::id_);
        instances_.at(where)->engine_.endpoint_probed(endpoint, found != endpoints_.end() && found->is_up_);
    });
}

auto crashing_part_fleet::is_current(const attempt& item) const -> bool
{
    return !item.is_over_ && endpoints_.at(item.endpoint_).starts_ == item.endpoint_start_ &&
           endpoints_.at(item.endpoint_).is_up_;
}

auto crashing_part_fleet::begin_answer(std::size_t number) -> void
{
    const auto item = attempts_.at(number);
    if (!is_current(item))
        return;
    instances_.at(item.instance_)->engine_.response_headers_received({.attempt_ = item.command_.attempt_});
    if (requests_.at(item.command_.request_).is_guilty_) {
        time_.after(time_to_crash, [this, endpoint = item.endpoint_, start = item.endpoint_start_] {
            if (!endpoints_.at(endpoint).is_up_ || endpoints_.at(endpoint).starts_ != start)
                return;
            crashes_.push_back(time_.now());
            ++result_.crashes_by_part_;
            crash(endpoint);
        });
        return;
    }
    time_.after(300ms + time_until(1.0), [this, number] { end_answer(number); });
}

auto crashing_part_fleet::end_answer(std::size_t number) -> void
{
    if (is_current(attempts_.at(number)))
        end_attempt(number, forward_outcome::complete, network_time);
}

auto crashing_part_fleet::crash(std::size_t endpoint) -> void
{
    auto& chosen = endpoints_.at(endpoint);
    if (!chosen.is_up_)
        return;
    for (auto number = std::size_t{0}; number < attempts_.size(); ++number) {
        const auto& item = attempts_[number];
        if (item.endpoint_ == endpoint && is_current(item))
            end_attempt(number, forward_outcome::crashed, crash_detection_time);
    }
    chosen.is_up_ = false;
    time_.after(600ms, [this] { publish(); });
    time_.after(endpoint_down_time, [this, endpoint] {
        auto& item = endpoints_.at(endpoint);
        ++item.starts_;
        item.id_ = state::endpoint_id{"e" + std::to_string(endpoint) + "-" + std::to_string(item.starts_)};
        item.is_up_ = true;
        publish();
    });
}

auto crashing_part_fleet::end_attempt(std::size_t number, forward_outcome outcome, state::duration delay)
    -> void
{
    time_.after(delay, [this, number, outcome] {
        auto& item = attempts_.at(number);
        if (std::exchange(item.is_over_, true))
            return;
        const auto handle = item.command_.attempt_;
        instances_.at(item.instance_)->engine_.attempt_ended({.attempt_ = handle, .outcome_ = outcome});
    });
}

auto crashing_part_fleet::cancel(state::attempt_handle handle, std::size_t where) -> void
{
    for (auto& item : attempts_) {
        if (item.instance_ == where && item.instance_start_ == instances_.at(where)->start_ &&
            item.command_.attempt_ == handle)
            item.is_over_ = true;
    }
}

auto crashing_part_fleet::finish(state::request_handle handle, bool is_answered, const std::string& detail)
    -> void
{
    const auto& item = requests_.at(handle);
    result_.late_sound_answered_ += item.is_counted_late_ && is_answered ? 1 : 0;
    result_.early_sound_answered_ += item.is_counted_early_ && is_answered ? 1 : 0;
    const auto is_blamed = !is_answered && detail.find("crashed") != std::string::npos;
    result_.sound_refused_for_crashes_ += !item.is_guilty_ && is_blamed ? 1 : 0;
}

auto crashing_part_fleet::tell_others(std::size_t from, std::function<void(instance&)> deliver) -> void
{
    for (auto other = std::size_t{0}; other < instances_.size(); ++other) {
        if (other != from && !random_.chance(plan_.lost_datagrams_))
            time_.after(network_time, [this, other, deliver] { deliver(*instances_.at(other)); });
    }
}

} // namespace buckthorndale::tests::world

#include "world/cut_off_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorndale::tests::world {

namespace forwarding = coordination::forwarding;
using forwarding::forward_outcome;

namespace {

using namespace std::chrono_literals;

const auto service = state::service_name{"desk"};
constexpr auto tick_interval = state::duration{20ms};
constexpr auto network_time = state::duration{1ms};
constexpr auto connect_timeout = state::duration{250ms};
constexpr auto probe_timeout = state::duration{150ms};
/// The handles of requests at the instance that they were passed on to.
constexpr auto first_passed_on = std::uint64_t{1'000'000'000};
constexpr auto objective = state::duration{300ms};
/// The users' window.
constexpr auto stable_window = state::duration{3s};

auto accepts_when_cut(link_cut kind) -> bool
{
    return kind == link_cut::accept_silent || kind == link_cut::accept_reset ||
           kind == link_cut::answers_lost;
}

auto make_table() -> std::shared_ptr<state::routing_table>
{
    auto table = std::make_shared<state::routing_table>();
    table->generation_ = state::generation{1};
    const auto route = [](const std::string& name, state::request_kind kind) {
        return state::route{.name_ = name,
                            .host_ = "h",
                            .path_prefix_ = "/" + name,
                            .kind_ = kind,
                            .time_limit_ = 3s,
                            .latency_objective_ = objective,
                            .max_attempts_ = 3,
                            .targets_ = {{.service_ = service}}};
    };
    table->routes_ = {route("safe", state::request_kind::safe),
                      route("once", state::request_kind::non_idempotent)};
    return table;
}

} // namespace

/// What an engine asks for.
struct cut_off_fleet::engine_port {
    auto dispatch(const forwarding::forward_command& command) -> void { fleet_.dispatch(number_, command); }

    auto cancel(state::attempt_handle handle) -> void { fleet_.cancel(number_, handle); }

    auto release(state::request_handle /*request*/, state::attempt_handle /*attempt*/) -> void {}

    auto finish(state::request_handle request, state::attempt_handle /*attempt*/) -> void
    {
        fleet_.finish(request, true, true);
    }

    auto refuse(state::request_handle request, const coordination::routing::refusal& why) -> void
    {
        fleet_.finish(request, false, why.run_ != coordination::routing::run_state::not_run);
    }

    auto announce_crash(const forwarding::crash_notice& /*crash*/) -> void
    {
        ++fleet_.result_.reported_crashes_;
    }

    auto announce_cleared_parts(const std::vector<forwarding::cleared_part>& /*cleared*/) -> void {}

    auto announce_blocked_parts(const std::vector<coordination::suspicion::blocked_part>& /*blocked*/) -> void
    {}

    auto announce_leaving(const forwarding::leaving_endpoint& /*leaving*/) -> void {}

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

    auto log(const forwarding::forward_log& /*line*/) -> void {}

    cut_off_fleet& fleet_;
    std::size_t number_;
};

struct cut_off_fleet::instance {
    instance(cut_off_fleet& fleet, std::size_t number)
        : random_{fleet.random_.next()}, port_{fleet, number},
          engine_{fleet.clock_, random_, port_,
                  forwarding::forward_settings{
                      .instance_ = state::instance_id{"front-" + std::to_string(number)},
                      .data_centre_ =
                          state::data_centre_id{"dc-" + std::to_string(number % fleet.plan_.data_centres_)}}}
    {}

    coordination::time::seeded_random random_;
    engine_port port_;
    forwarding::forward_engine<virtual_clock, coordination::time::seeded_random, engine_port> engine_;
};

cut_off_fleet::cut_off_fleet(cut_off_plan plan) : plan_{plan}, random_{plan.seed_}, started_{time_.now()} {}

cut_off_fleet::~cut_off_fleet() = default;

auto cut_off_fleet::run() -> cut_off_result
{
    for (auto i = std::size_t{0}; i < plan_.endpoints_; ++i)
        endpoints_.push_back(
            {.id_ = state::endpoint_id{"e" + std::to_string(i)},
             .service_ = service,
             .address_ = {.host_ = "10.0.0.1", .port_ = static_cast<std::uint16_t>(i + 1)},
             .data_centre_ = state::data_centre_id{"dc-" + std::to_string(i % plan_.data_centres_)},
             .version_ = state::version_name{"v1"},
             .slots_ = 64,
             .registered_at_ = 1});
    for (auto i = std::size_t{0}; i < plan_.instances_; ++i)
        instances_.push_back(std::make_unique<instance>(*this, i));
    for (auto i = std::size_t{0}; i < plan_.instances_; ++i) {
        auto& engine = instances_.at(i)->engine_;
        engine.configure(make_table());
        engine.set_fresh(true);
        engine.update_roll_outs({{.service_ = service,
                                  .target_ = state::version_name{"v2"},
                                  .time_allowed_ = 10min,
                                  .state_ = state::staged_roll_out_state::running,
                                  .revision_ = 1,
                                  .created_ = 1}});
        engine.update_endpoints(endpoints_);
        engine.update_relay_peers(peers_of(i));
        schedule_tick(i);
    }
    schedule_requests();
    time_.after(plan_.cut_from_, [this] { cut_links(); });
    time_.after(plan_.cut_from_ + plan_.cut_for_, [this] { is_cut_now_ = false; });
    if (plan_.has_suspension_) {
        time_.after(plan_.cut_from_ + 5s, [this] { is_last_suspended_ = true; });
        time_.after(plan_.cut_from_ + 8s, [this] { is_last_suspended_ = false; });
    }
    time_.run_until(started_ + plan_.duration_);
    count_bad_answers();
    return result_;
}

auto cut_off_fleet::count_bad_answers() -> void
{
    for (auto i = std::size_t{0}; i < plan_.instances_; ++i) {
        if (!is_cut_instance(i))
            continue;
        const auto report = instances_.at(i)->engine_.roll_outs().report(forwarding::report_scope::own,
                                                                         state::incarnation{1}, time_.now());
        for (const auto& item : report.counts_)
            result_.bad_answers_ += item.counts_.bad_;
    }
}

auto cut_off_fleet::peers_of(std::size_t where) const -> std::vector<forwarding::relay_peer>
{
    auto peers = std::vector<forwarding::relay_peer>{};
    for (auto i = std::size_t{0}; i < plan_.instances_; ++i) {
        if (i != where)
            peers.push_back(
                {.id_ = state::instance_id{"front-" + std::to_string(i)},
                 .data_centre_ = state::data_centre_id{"dc-" + std::to_string(i % plan_.data_centres_)},
                 .address_ = {.host_ = "10.1.0.1", .port_ = static_cast<std::uint16_t>(i + 1)}});
    }
    return peers;
}

auto cut_off_fleet::time_until(double mean_seconds) -> state::duration
{
    const auto seconds = -std::log(1.0 - random_.unit()) * mean_seconds;
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>{seconds});
}

auto cut_off_fleet::schedule_requests() -> void
{
    time_.after(time_until(1.0 / plan_.rate_), [this] {
        send_request();
        schedule_requests();
    });
}

auto cut_off_fleet::schedule_tick(std::size_t where) -> void
{
    time_.after(tick_interval, [this, where] {
        instances_.at(where)->engine_.tick();
        schedule_tick(where);
    });
}

auto cut_off_fleet::is_cut_instance(std::size_t where) const -> bool
{
    return plan_.is_whole_data_centre_ ? where % plan_.data_centres_ == 0 : where < plan_.cut_instances_;
}

auto cut_off_fleet::is_cut(std::size_t where, std::size_t endpoint) const -> bool
{
    const auto is_own = plan_.keeps_own_endpoints_ && endpoint % plan_.data_centres_ == 0;
    return is_cut_now_ && is_cut_instance(where) && endpoint < plan_.cut_endpoints_ && !is_own;
}

auto cut_off_fleet::is_late(state::time_point time) const -> bool
{
    // The last requests end after the run.
    return time > started_ + plan_.cut_from_ + plan_.cut_for_ + stable_window &&
           time < started_ + plan_.duration_ - 1s;
}

auto cut_off_fleet::cut_links() -> void
{
    is_cut_now_ = true;
    if (plan_.kind_ == link_cut::live_on)
        return;
    for (auto number = std::size_t{0}; number < attempts_.size(); ++number) {
        auto& item = attempts_[number];
        if (item.is_over_ || !item.is_connected_ || !is_cut(item.instance_, item.endpoint_))
            continue;
        item.is_connected_ = false;
        if (plan_.kind_ == link_cut::reset)
            time_.after(2 * network_time, [this, number] { end_attempt(number, forward_outcome::crashed); });
        if (plan_.kind_ == link_cut::accept_reset)
            time_.after(2 * network_time, [this, number] { end_attempt(number, forward_outcome::broken); });
    }
}

auto cut_off_fleet::send_request() -> void
{
    const auto handle = state::request_handle{requests_.size() + 1};
    const auto where = random_.below(instances_.size());
    const auto now = time_.now();
    const auto is_repeatable = random_.chance(0.5);
    requests_[handle] = {.instance_ = where, .arrived_ = now, .is_repeatable_ = is_repeatable};
    const auto cut_at = started_ + plan_.cut_from_;
    if (now > cut_at + stable_window && now < cut_at + plan_.cut_for_)
        ++(is_cut_instance(where) ? result_.cut_sent_ : result_.other_sent_);
    if (now > cut_at && now <= cut_at + stable_window && is_cut_instance(where))
        ++result_.early_sent_;
    if (is_late(now))
        ++result_.late_sent_;
    instances_.at(where)->engine_.arrive(handle, {.id_ = state::request_id{std::to_string(handle.value())},
                                                  .host_ = "h",
                                                  .path_ = is_repeatable ? "/safe" : "/once",
                                                  .content_ = state::content_fingerprint{handle.value()},
                                                  .time_allowed_ = 3s,
                                                  .prompt_ = prompt_of(handle)});
}

auto cut_off_fleet::prompt_of(state::request_handle handle) const -> std::vector<forwarding::prompt_part>
{
    constexpr auto subjects = std::uint64_t{200};
    if (!plan_.has_shared_prompts_)
        return {};
    return {
        {.id_ = "subject-" + std::to_string(handle.value() % subjects), .tokens_ = state::token_count{1000}},
        {.id_ = std::to_string(handle.value()), .tokens_ = state::token_count{100}}};
}

auto cut_off_fleet::dispatch(std::size_t where, const forwarding::forward_command& command) -> void
{
    const auto number = attempts_.size();
    attempts_.push_back({.instance_ = where, .command_ = command});
    if (command.relayed_attempts_) {
        pass_on(number);
        return;
    }
    const auto found = std::ranges::find(endpoints_, command.endpoint_, &state::registered_endpoint::id_);
    const auto endpoint = static_cast<std::size_t>(found - endpoints_.begin());
    attempts_.back().endpoint_ = endpoint;
    if (is_cut(where, endpoint) && !accepts_when_cut(plan_.kind_)) {
        const auto delay = plan_.kind_ == link_cut::hang ? connect_timeout : network_time;
        time_.after(delay, [this, number] { end_attempt(number, forward_outcome::not_sent); });
        return;
    }
    if (is_cut(where, endpoint) && plan_.kind_ == link_cut::accept_silent)
        return;
    if (is_cut(where, endpoint) && plan_.kind_ == link_cut::accept_reset) {
        time_.after(2 * network_time, [this, number] { end_attempt(number, forward_outcome::broken); });
        return;
    }
    attempts_.back().is_connected_ = !is_cut(where, endpoint);
    auto& request = requests_.at(origin_of(command.request_));
    if (++request.runs_ > 1 && !request.is_repeatable_)
        ++result_.repeated_runs_;
    // No answer of a sound endpoint is late.
    time_.after(30ms + std::min(time_until(0.03), state::duration{100ms}), [this, number] {
        auto& item = attempts_.at(number);
        if (item.is_over_ || !item.is_connected_)
            return;
        instances_.at(item.instance_)
            ->engine_.response_headers_received(
                {.attempt_ = item.command_.attempt_, .endpoint_ = item.command_.endpoint_});
        end_attempt(number, forward_outcome::complete);
    });
}

auto cut_off_fleet::origin_of(state::request_handle handle) const -> state::request_handle
{
    const auto found = passed_on_.find(handle);
    return found == passed_on_.end() ? handle : attempts_.at(found->second).command_.request_;
}

auto cut_off_fleet::pass_on(std::size_t number) -> void
{
    const auto command = attempts_.at(number).command_;
    ++result_.passed_on_;
    result_.late_passed_on_ += is_late(time_.now()) ? 1 : 0;
    time_.after(network_time, [this, number, command] {
        const auto is_suspended =
            is_last_suspended_ && command.address_.port_ == static_cast<std::uint16_t>(plan_.instances_);
        // The callers of a suspended instance are not counted, only what others pass on to it.
        if (is_suspended)
            return;
        const auto handle = state::request_handle{first_passed_on + passed_on_.size()};
        passed_on_[handle] = number;
        const auto& request = requests_.at(command.request_);
        instances_.at(command.address_.port_ - 1U)
            ->engine_.arrive(handle, {.id_ = state::request_id{std::to_string(command.request_.value())},
                                      .host_ = "h",
                                      .path_ = request.is_repeatable_ ? "/safe" : "/once",
                                      .content_ = state::content_fingerprint{command.request_.value()},
                                      .time_allowed_ = command.deadline_ - time_.now(),
                                      .prompt_ = prompt_of(command.request_),
                                      .relayed_attempts_ = command.relayed_attempts_});
    });
}

auto cut_off_fleet::probe(std::size_t where, const state::endpoint_id& endpoint) -> void
{
    const auto found = std::ranges::find(endpoints_, endpoint, &state::registered_endpoint::id_);
    const auto number = static_cast<std::size_t>(found - endpoints_.begin());
    const auto is_reachable = !is_cut(where, number);
    const auto is_silent = !is_reachable && plan_.kind_ != link_cut::reset &&
                           plan_.kind_ != link_cut::live_on && plan_.kind_ != link_cut::accept_reset;
    time_.after(is_silent ? probe_timeout : network_time, [this, where, endpoint, is_reachable] {
        instances_.at(where)->engine_.endpoint_probed(endpoint, is_reachable);
    });
}

auto cut_off_fleet::end_attempt(std::size_t number, forward_outcome outcome) -> void
{
    auto& item = attempts_.at(number);
    if (std::exchange(item.is_over_, true))
        return;
    instances_.at(item.instance_)
        ->engine_.attempt_ended({.attempt_ = item.command_.attempt_, .outcome_ = outcome});
}

auto cut_off_fleet::cancel(std::size_t where, state::attempt_handle handle) -> void
{
    for (auto& item : attempts_) {
        if (item.instance_ == where && item.command_.attempt_ == handle)
            item.is_over_ = true;
    }
}

auto cut_off_fleet::finish(state::request_handle handle, bool is_answered, bool may_have_run) -> void
{
    const auto passed_on = passed_on_.find(handle);
    if (passed_on != passed_on_.end()) {
        const auto unanswered = may_have_run ? forward_outcome::broken : forward_outcome::declined;
        time_.after(network_time, [this, number = passed_on->second, is_answered, unanswered] {
            end_attempt(number, is_answered ? forward_outcome::complete : unanswered);
        });
        return;
    }
    auto& request = requests_.at(handle);
    if (std::exchange(request.is_over_, true) || !is_answered)
        return;
    const auto cut_at = started_ + plan_.cut_from_;
    const auto arrived = request.arrived_;
    if (arrived > cut_at + stable_window && arrived < cut_at + plan_.cut_for_) {
        const auto is_cut_here = is_cut_instance(request.instance_);
        ++(is_cut_here ? result_.cut_answered_ : result_.other_answered_);
        result_.cut_in_time_ += is_cut_here && time_.now() - arrived <= objective ? 1 : 0;
    }
    if (arrived > cut_at && arrived <= cut_at + stable_window && is_cut_instance(request.instance_))
        ++result_.early_answered_;
    if (is_late(arrived))
        ++result_.late_answered_;
}

} // namespace buckthorndale::tests::world

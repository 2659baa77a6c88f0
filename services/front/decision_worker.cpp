#include <utility>

#include "front/decision_worker.hpp"

#include "state/overloaded.hpp"

namespace buckthorndale::services::front {

namespace {

/// The precision with which deadlines are kept.
constexpr auto tick_interval = state::duration{std::chrono::milliseconds{80}};
/// The precision while requests wait or endpoints are probed.
constexpr auto prompt_tick_interval = state::duration{std::chrono::milliseconds{20}};
constexpr auto report_interval = state::duration{std::chrono::seconds{1}};
/// The work at endpoints changes within a few hundred milliseconds.
constexpr auto work_report_interval = state::duration{std::chrono::milliseconds{240}};

auto engine_settings(const front_settings& settings) -> forwarding::forward_settings
{
    return {.instance_ = settings.instance_,
            .data_centre_ = settings.data_centre_,
            .session_lifetime_ = settings.session_lifetime_,
            .follows_emptying_ = settings.emptying_delay_.has_value(),
            .shares_by_workspace_ = settings.shares_by_workspace_,
            .learns_capacity_ = settings.learns_capacity_};
}

} // namespace

decision_worker::decision_worker(const front_settings& settings)
    : instance_{settings.instance_}, incarnation_{random_.next()}, port_{settings.instance_},
      engine_{clock_, random_, port_, engine_settings(settings)},
      ticker_{worker_.context(), tick_interval, [this] { tick(); }},
      from_network_{ring_capacity, worker_.context(), [this](network_event& event) { handle(event); }},
      from_control_{ring_capacity, worker_.context(), [this](control_event& event) { handle(event); }}
{}

auto decision_worker::connect(decision_port::network_ring& network, decision_port::control_ring& control)
    -> void
{
    port_.connect(network, control);
}

auto decision_worker::start() -> void
{
    ticker_.start();
    worker_.start();
}

auto decision_worker::stop() -> void
{
    worker_.stop();
}

auto decision_worker::handle(network_event& event) -> void
{
    std::visit(
        state::overloaded{
            [this](request_arrived& item) { engine_.arrive(item.handle_, std::move(item.request_)); },
            [this](const forwarding::response_headers& item) { engine_.response_headers_received(item); },
            [this](const forwarding::stalled_attempt& item) { engine_.attempt_stalled(item); },
            [this](const forwarding::forward_attempt_result& item) { engine_.attempt_ended(item); },
            [this](const endpoint_probed& item) {
                engine_.endpoint_probed(item.endpoint_, item.is_reachable_);
            },
            [this](const endpoint_identified& item) {
                engine_.endpoint_identified(item.expected_, item.named_);
            },
            [this](const caller_disconnected& item) { engine_.caller_left(item.request_); },
        },
        event);
    update_gauge();
}

auto decision_worker::handle(control_event& event) -> void
{
    std::visit(state::overloaded{
                   [this](table_published& item) { engine_.configure(std::move(item.table_)); },
                   [this](const freshness_changed& item) { engine_.set_fresh(item.is_fresh_); },
                   [this](const endpoints_published& item) { engine_.update_endpoints(item.endpoints_); },
                   [this](const roll_outs_published& item) { engine_.update_roll_outs(item.roll_outs_); },
                   [this](emptied_data_centres_published& item) {
                       engine_.update_emptied_data_centres(std::move(item.data_centres_));
                   },
                   [this](instances_published& item) {
                       engine_.update_instances(std::move(item.instances_));
                       engine_.update_relay_peers(std::move(item.relays_));
                   },
                   [this](const peer_message_received& item) { handle_peer_message(item.message_); },
                   [this](const stop_requested&) { engine_.begin_stop(); },
                   [this](const stop_overdue&) { engine_.end_stop(); },
               },
               event);
    update_gauge();
}

auto decision_worker::handle_peer_message(const protocol::peer::peer_message& message) -> void
{
    for (const auto& crash : message.crashes_)
        engine_.record_remote_crash(crash);
    for (const auto& cleared : message.cleared_parts_)
        engine_.record_remote_cleared_part(cleared);
    for (const auto& blocked : message.blocked_parts_)
        engine_.record_remote_blocked_part(blocked);
    for (const auto& leaving : message.leaving_)
        engine_.record_remote_leaving(leaving);
    if (!message.limits_.is_empty())
        engine_.receive_limits(message.from_, message.limits_);
    if (message.work_)
        engine_.receive_work_report(message.from_, message.scope_, *message.work_);
    if (message.paces_)
        engine_.receive_pace_report(message.from_, message.scope_, *message.paces_);
    if (!message.roll_outs_.ages_.empty())
        engine_.hear(message.from_, message.scope_, message.roll_outs_);
}

auto decision_worker::tick() -> void
{
    engine_.tick();
    update_gauge();
    const auto now = clock_.now();
    if (now >= next_report_) {
        next_report_ = now + report_interval;
        report_roll_outs();
        repeat_news();
        report_paces();
    }
    if (now >= next_work_report_) {
        next_work_report_ = now + work_report_interval;
        report_work();
    }
}

auto decision_worker::report_roll_outs() -> void
{
    const auto now = clock_.now();
    auto& roll_outs = engine_.roll_outs();
    if (!roll_outs.is_running())
        return;
    const auto message = [&](forwarding::report_scope scope) {
        return protocol::peer::peer_message{
            .from_ = instance_, .scope_ = scope, .roll_outs_ = roll_outs.report(scope, incarnation_, now)};
    };
    port_.post_to_control(report_by_scope{.own_ = message(forwarding::report_scope::own),
                                          .subtree_ = message(forwarding::report_scope::subtree),
                                          .all_ = message(forwarding::report_scope::all)});
    auto steps = roll_outs.steps(now);
    if (!steps.empty())
        port_.post_to_control(record_roll_out_steps{std::move(steps)});
}

auto decision_worker::repeat_news() -> void
{
    auto blocked = engine_.blocked_parts();
    auto limits = engine_.known_limits();
    if (!blocked.empty() || !limits.is_empty())
        port_.post_to_control(send_to_some_peers{
            {.from_ = instance_, .blocked_parts_ = std::move(blocked), .limits_ = std::move(limits)}});
}

auto decision_worker::report_work() -> void
{
    auto work = engine_.share_work();
    if (!std::exchange(has_reported_work_, !work.all_.empty()) && work.all_.empty())
        return;
    const auto message = [&](forwarding::report_scope scope, std::vector<forwarding::endpoint_work>& items) {
        return protocol::peer::peer_message{.from_ = instance_, .scope_ = scope, .work_ = std::move(items)};
    };
    port_.post_to_control(
        report_by_scope{.own_ = message(forwarding::report_scope::own, work.own_),
                        .subtree_ = message(forwarding::report_scope::subtree, work.subtree_),
                        .all_ = message(forwarding::report_scope::all, work.all_)});
}

auto decision_worker::report_paces() -> void
{
    auto paces = engine_.share_paces();
    if (paces.all_.empty())
        return;
    const auto message = [&](forwarding::report_scope scope,
                             std::vector<forwarding::endpoint_pace_sums>& items) {
        return protocol::peer::peer_message{.from_ = instance_, .scope_ = scope, .paces_ = std::move(items)};
    };
    port_.post_to_control(
        report_by_scope{.own_ = message(forwarding::report_scope::own, paces.own_),
                        .subtree_ = message(forwarding::report_scope::subtree, paces.subtree_),
                        .all_ = message(forwarding::report_scope::all, paces.all_)});
}

auto decision_worker::publish_endpoint_counts() -> void
{
    const auto counts = engine_.endpoint_counts();
    limited_endpoints_.store(counts.limited_);
    cold_endpoints_.store(counts.cold_);
    emptied_data_centres_.store(counts.emptied_data_centres_);
    running_at_emptied_.store(counts.running_at_emptied_);
    slow_endpoints_.store(counts.slow_);
    fast_endpoints_.store(counts.fast_);
}

auto decision_worker::update_gauge() -> void
{
    gauge_.publish(engine_.is_ready(), engine_.size());
    publish_endpoint_counts();
    if (engine_.needs_prompt_tick())
        ticker_.hasten(prompt_tick_interval);
}

} // namespace buckthorndale::services::front

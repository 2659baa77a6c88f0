#include <utility>

#include "front/decision_duty.hpp"

#include "state/overloaded.hpp"

namespace buckthorndale::services::front {

namespace {

/// Deadlines are kept to within this.
constexpr auto tick_interval = std::chrono::milliseconds{20};
/// Peers hear of roll-outs once in so many ticks, which is once a second.
constexpr auto ticks_per_report = std::uint64_t{50};

/// Work at endpoints changes within some hundred milliseconds; so many ticks are 240 ms.
constexpr auto ticks_per_work_report = std::uint64_t{12};

auto engine_settings(const front_settings& settings) -> forwarding::forward_settings
{
    return {.data_centre_ = settings.data_centre_, .session_lifetime_ = settings.session_lifetime_};
}

} // namespace

decision_duty::decision_duty(const front_settings& settings)
    : instance_{settings.instance_}, life_{random_.next()}, port_{settings.instance_},
      engine_{clock_, random_, port_, engine_settings(settings)},
      ticker_{duty_.context(), tick_interval, [this] { tick(); }},
      from_network_{ring_size, duty_.context(), [this](network_event& event) { take(event); }},
      from_control_{ring_size, duty_.context(), [this](control_event& event) { take(event); }}
{}

auto decision_duty::connect(decision_port::network_ring& network, decision_port::control_ring& control)
    -> void
{
    port_.connect(network, control);
}

auto decision_duty::start() -> void
{
    ticker_.start();
    duty_.start();
}

auto decision_duty::stop() -> void
{
    duty_.stop();
}

auto decision_duty::take(network_event& event) -> void
{
    std::visit(
        state::overloaded{
            [this](request_arrived& item) { engine_.arrive(item.handle_, std::move(item.request_)); },
            [this](const forwarding::response_headers& item) { engine_.response_headers_received(item); },
            [this](const forwarding::forward_attempt_result& item) { engine_.attempt_ended(item); },
            [this](const caller_gone& item) { engine_.caller_left(item.request_); },
        },
        event);
    publish();
}

auto decision_duty::take(control_event& event) -> void
{
    std::visit(state::overloaded{
                   [this](table_published& item) { engine_.configure(std::move(item.table_)); },
                   [this](const freshness_changed& item) { engine_.set_fresh(item.is_fresh_); },
                   [this](const endpoints_published& item) { engine_.update_endpoints(item.endpoints_); },
                   [this](const roll_outs_published& item) { engine_.update_roll_outs(item.orders_); },
                   [this](const peer_heard& item) { hear(item.message_); },
                   [this](const stop_wanted&) { engine_.begin_stop(); },
               },
               event);
    publish();
}

auto decision_duty::hear(const protocol::peer::peer_message& message) -> void
{
    for (const auto& crash : message.crashes_)
        engine_.record_remote_crash(crash.endpoint_, crash.content_);
    if (message.work_)
        engine_.receive_work_report(message.from_, message.scope_, *message.work_);
    if (!message.roll_outs_.ages_.empty())
        engine_.hear(message.from_, message.scope_, message.roll_outs_);
}

auto decision_duty::tick() -> void
{
    engine_.tick();
    publish();
    if (++ticks_ % ticks_per_report == 0)
        report();
    if (ticks_ % ticks_per_work_report == 0)
        share_work();
}

auto decision_duty::report() -> void
{
    const auto now = clock_.now();
    auto& roll_outs = engine_.roll_outs();
    if (!roll_outs.is_running())
        return;
    const auto message = [&](forwarding::report_scope scope) {
        return protocol::peer::peer_message{
            .from_ = instance_, .scope_ = scope, .roll_outs_ = roll_outs.report(scope, life_, now)};
    };
    port_.to_control(share_by_scope{.own_ = message(forwarding::report_scope::own),
                                    .subtree_ = message(forwarding::report_scope::subtree),
                                    .all_ = message(forwarding::report_scope::all)});
    auto steps = roll_outs.steps(now);
    if (!steps.empty())
        port_.to_control(record_steps{std::move(steps)});
}

auto decision_duty::share_work() -> void
{
    auto work = engine_.share_work();
    if (!std::exchange(has_told_work_, !work.all_.empty()) && work.all_.empty())
        return;
    const auto message = [&](forwarding::report_scope scope, std::vector<forwarding::endpoint_work>& items) {
        return protocol::peer::peer_message{.from_ = instance_, .scope_ = scope, .work_ = std::move(items)};
    };
    port_.to_control(share_by_scope{.own_ = message(forwarding::report_scope::own, work.own_),
                                    .subtree_ = message(forwarding::report_scope::subtree, work.subtree_),
                                    .all_ = message(forwarding::report_scope::all, work.all_)});
}

auto decision_duty::publish() -> void
{
    gauge_.publish(engine_.is_ready(), engine_.size());
}

} // namespace buckthorndale::services::front

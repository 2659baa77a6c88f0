#include <utility>

#include "router/decision_duty.hpp"

#include "router/ring_sizes.hpp"
#include "state/overloaded.hpp"

namespace buckthorndale::services::router {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds{10};
/// Evidence is reported once in so many ticks.
constexpr auto ticks_per_report = std::uint64_t{50};

} // namespace

decision_duty::decision_duty(const router_settings& settings, state::incarnation life)
    : engine_{clock_, random_, port_, {.instance_ = settings.instance_, .life_ = life}, settings.engine_},
      ticker_{duty_.context(), tick_interval, [this] { tick(); }},
      from_network_{event_ring_size, duty_.context(), [this](network_event& event) { take(event); }},
      from_control_{event_ring_size, duty_.context(), [this](control_event& event) { take(event); }}
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
            [this](request_arrived& item) { engine_.arrive(item.handle_, std::move(item.description_)); },
            [this](const first_piece_released& item) { engine_.released_first_piece(item.attempt_); },
            [this](const coordination::routing::attempt_ending& item) { engine_.attempt_ended(item); },
            [this](const attempt_rated& item) { engine_.rated(item.request_, item.attempt_, item.rating_); },
            [this](const caller_gone& item) { engine_.caller_left(item.request_); },
        },
        event);
    publish();
}

auto decision_duty::take(control_event& event) -> void
{
    std::visit(
        state::overloaded{
            [this](configuration_confirmed& item) {
                engine_.configure(std::move(item.configuration_), item.asked_at_);
            },
            [this](const endpoints_listed& item) { engine_.update_endpoints(item.endpoints_); },
            [this](const claim_answered& item) { engine_.claim_settled(item.request_, item.verdict_); },
            [this](const bill_kept& item) { engine_.bill_recorded(item.request_); },
            [this](const suspects_known& item) {
                engine_.suspects_announced(item.content_, item.is_running_elsewhere_);
            },
            [this](const suspects_heard& item) { hear(item); },
            [this](const evidence_heard& item) { engine_.guard().update_sums(item.sums_); },
            [this](const shutdown_wanted&) { engine_.begin_shutdown(); },
        },
        event);
    publish();
}

auto decision_duty::hear(const suspects_heard& word) -> void
{
    if (!word.is_cleared_) {
        engine_.learn_suspects(word.endpoint_, word.contents_);
        return;
    }
    for (const auto content : word.contents_)
        engine_.learn_cleared(content);
}

auto decision_duty::tick() -> void
{
    engine_.tick();
    publish();
    if (++ticks_ % ticks_per_report == 0)
        report_evidence();
}

auto decision_duty::publish() -> void
{
    gauge_.publish(engine_.is_ready(), engine_.size());
    running_contents_.store(std::make_shared<const content_set>(engine_.running_contents()));
}

auto decision_duty::report_evidence() -> void
{
    port_.to_control(evidence_counted{engine_.guard().own_counts()});
}

} // namespace buckthorndale::services::router

#include <utility>

#include "router/decision_worker.hpp"

#include "router/ring_sizes.hpp"
#include "state/overloaded.hpp"

namespace buckthorndale::services::router {

namespace {

constexpr auto tick_interval = std::chrono::milliseconds{10};
/// Ticks between two evidence reports.
constexpr auto ticks_per_evidence_report = std::uint64_t{50};

} // namespace

decision_worker::decision_worker(const router_settings& settings, state::incarnation incarnation)
    : engine_{clock_,
              random_,
              port_,
              {.instance_ = settings.instance_, .life_ = incarnation},
              settings.engine_},
      ticker_{worker_.context(), tick_interval, [this] { tick(); }},
      from_network_{event_ring_size, worker_.context(), [this](network_event& event) { process(event); }},
      from_control_{event_ring_size, worker_.context(), [this](control_event& event) { process(event); }}
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

auto decision_worker::process(network_event& event) -> void
{
    std::visit(
        state::overloaded{
            [this](request_arrived& item) { engine_.arrive(item.handle_, std::move(item.description_)); },
            [this](const first_chunk_released& item) { engine_.first_chunk_released(item.attempt_); },
            [this](const coordination::routing::attempt_result& item) { engine_.attempt_ended(item); },
            [this](const attempt_rated& item) {
                engine_.rating_received(item.request_, item.attempt_, item.rating_);
            },
            [this](const caller_disconnected& item) { engine_.caller_left(item.request_); },
        },
        event);
    publish();
}

auto decision_worker::process(control_event& event) -> void
{
    std::visit(
        state::overloaded{
            [this](configuration_confirmed& item) {
                engine_.configure(std::move(item.configuration_), item.asked_at_);
            },
            [this](const endpoints_updated& item) { engine_.update_endpoints(item.endpoints_); },
            [this](const claim_answered& item) { engine_.claim_settled(item.request_, item.verdict_); },
            [this](const bill_replicated& item) { engine_.bill_recorded(item.request_); },
            [this](const suspects_acknowledged& item) {
                engine_.suspects_announced(item.content_, item.is_running_elsewhere_);
            },
            [this](const suspects_received& item) { receive_suspects(item); },
            [this](const evidence_received& item) { engine_.guard().update_sums(item.sums_); },
            [this](const shutdown_requested&) { engine_.begin_shutdown(); },
        },
        event);
    publish();
}

auto decision_worker::receive_suspects(const suspects_received& message) -> void
{
    if (!message.is_cleared_) {
        engine_.learn_suspects(message.endpoint_, message.contents_);
        return;
    }
    for (const auto content : message.contents_)
        engine_.learn_cleared(content);
}

auto decision_worker::tick() -> void
{
    engine_.tick();
    publish();
    if (++ticks_ % ticks_per_evidence_report == 0)
        report_evidence();
}

auto decision_worker::publish() -> void
{
    gauge_.publish(engine_.is_ready(), engine_.size());
    running_contents_.store(std::make_shared<const content_set>(engine_.running_contents()));
}

auto decision_worker::report_evidence() -> void
{
    port_.to_control(evidence_counted{engine_.guard().own_counts()});
}

} // namespace buckthorndale::services::router

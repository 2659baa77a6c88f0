#include "world/simulated_instance.hpp"

#include "state/invariant.hpp"

#include <utility>

namespace buckthorndale::tests::world {

namespace {

constexpr auto router_tick_interval = state::duration{std::chrono::milliseconds{10}};
constexpr auto agent_poll_interval = state::duration{std::chrono::milliseconds{500}};
constexpr auto catch_up_interval = state::duration{std::chrono::seconds{1}};
constexpr auto gossip_interval = state::duration{std::chrono::seconds{2}};
constexpr auto write_interval = state::duration{std::chrono::milliseconds{200}};
constexpr auto balancer_delay = state::duration{std::chrono::milliseconds{300}};

} // namespace

simulated_instance::simulated_instance(simulation_context& context, state::instance_id id,
                                       state::data_centre_id data_centre, simulation_access access,
                                       coordination::routing::engine_settings settings)
    : context_{context}, id_{std::move(id)}, data_centre_{std::move(data_centre)}, access_{std::move(access)},
      settings_{settings}
{}

auto simulated_instance::start() -> void
{
    incarnation_ = state::incarnation{context_.random_.next()};
    is_leaving_ = false;
    agent_ = std::make_unique<simulated_agent>(context_, *this, incarnation_);
    router_ = std::make_unique<simulated_router>(context_, *this, incarnation_, settings_);
    schedule_periodic_tasks();
}

auto simulated_instance::schedule_periodic_tasks() -> void
{
    every(router_tick_interval, [this] {
        if (router_)
            router_->tick();
        stop_if_drained();
    });
    every(agent_poll_interval, [this] {
        if (router_)
            router_->poll_agent();
    });
    every(catch_up_interval, [this] { agent_->catch_up(); });
    every(gossip_interval, [this] { gossip(); });
    every(write_interval, [this] { agent_->write_bills(); });
}

auto simulated_instance::every(state::duration interval, std::function<void()> run) -> void
{
    run_later(interval, [this, interval, run] {
        run();
        every(interval, run);
    });
}

auto simulated_instance::run_later(state::duration delay, scheduler::action run) -> void
{
    context_.time_.after(
        delay, [this, incarnation = incarnation_, run = std::move(run)] { deliver(incarnation, run); });
}

auto simulated_instance::deliver(state::incarnation incarnation, scheduler::action run) -> void
{
    if (incarnation != incarnation_)
        return;
    if (is_frozen()) {
        backlog_.emplace_back(incarnation, std::move(run));
        return;
    }
    run();
}

auto simulated_instance::freeze(state::duration time) -> void
{
    context_.coverage_.count("freeze");
    context_.append_trace("freeze " + id_.text());
    frozen_until_ = context_.time_.now() + time;
    context_.time_.after(time, [this] { resume(); });
}

auto simulated_instance::resume() -> void
{
    if (is_frozen())
        return;
    context_.append_trace("resume " + id_.text());
    auto waiting = std::exchange(backlog_, {});
    for (auto& [incarnation, run] : waiting)
        deliver(incarnation, std::move(run));
}

auto simulated_instance::kill() -> void
{
    context_.coverage_.count("kill-instance");
    context_.append_trace("kill " + id_.text());
    kill_router();
    agent_.reset();
    incarnation_ = {};
}

auto simulated_instance::kill_router() -> void
{
    if (!router_)
        return;
    const auto open = router_->open_submissions();
    router_.reset();
    // Events of the previous incarnation are dropped, so the agent has to restart together with its router.
    incarnation_ = {};
    agent_.reset();
    backlog_.clear();
    for (const auto submission : open)
        access_.caller_->on_disconnect(submission);
}

auto simulated_instance::begin_shutdown() -> void
{
    context_.coverage_.count("graceful-shutdown");
    context_.append_trace("leaving " + id_.text());
    is_leaving_ = true;
    run_later(balancer_delay, [this] {
        if (router_)
            router_->engine().begin_shutdown();
        agent_->begin_shutdown();
    });
}

auto simulated_instance::stop_if_drained() -> void
{
    if (!is_leaving_ || !router_ || !router_->is_drained() || agent_->held_bills().size() > 0)
        return;
    state::verify(router_->open_submissions().empty(), state::guarantee::graceful_shutdown,
                  "a graceful shutdown must not interrupt a request");
    context_.coverage_.count("graceful-stop");
    context_.append_trace("stopped " + id_.text());
    incarnation_ = {};
    // Callers up the stack still use the agent and the router, so a later action destroys them.
    auto agent = std::shared_ptr{std::move(agent_)};
    auto router = std::shared_ptr{std::move(router_)};
    context_.time_.after({}, [agent, router] {});
}

auto simulated_instance::submit(const submission& request) -> void
{
    if (!accepts_requests()) {
        access_.caller_->on_disconnect(request.id_);
        return;
    }
    run_later(context_.network_delay(), [this, request] {
        if (router_)
            router_->submit(request);
    });
}

auto simulated_instance::claim(const state::claim_key& key, state::content_fingerprint content,
                               simulated_agent::claim_callback done) -> void
{
    run_later(state::duration{100}, [this, key, content, done] { agent_->claim(key, content, done); });
}

auto simulated_instance::send_to_agent(std::function<void(simulated_agent&)> message) -> void
{
    run_later(state::duration{100}, [this, message] { message(*agent_); });
}

auto simulated_instance::poll_own_agent() -> std::optional<agent_update>
{
    if (!agent_)
        return std::nullopt;
    return agent_update{.is_confirmed_ = agent_->is_confirmed(),
                        .configuration_ = agent_->replica().current()};
}

auto simulated_instance::send_copy(const state::instance_id& holder, const state::bill_record& record) -> void
{
    const auto id = coordination::billing::id_of(record);
    const auto is_primary = holder == id_;
    query_agent<bool>(
        holder, [record, is_primary](simulated_agent& agent) { return agent.hold(record, is_primary); },
        [this, id, holder](std::optional<bool> is_held) {
            if (is_held.value_or(false))
                router_->replicator().acknowledge(id, holder, context_.time_.now());
            else
                router_->replicator().reject(id, holder, context_.time_.now());
        });
}

auto simulated_instance::notify_backups(const coordination::billing::written_ranges& written) -> void
{
    for (auto* other : access_.instances_()) {
        if (other == this || other->data_centre() != data_centre_)
            continue;
        query_agent<bool>(
            other->id(),
            [written](simulated_agent& agent) {
                agent.release(written);
                return true;
            },
            [](std::optional<bool>) {});
    }
}

auto simulated_instance::announce(const state::endpoint_id& endpoint,
                                  const std::vector<state::content_fingerprint>& contents,
                                  std::function<void(bool is_running_elsewhere)> done) -> void
{
    auto waiting = std::make_shared<std::size_t>(1);
    auto is_running = std::make_shared<bool>(false);
    const auto answered = [waiting, is_running, done](bool is_running_there) {
        *is_running = *is_running || is_running_there;
        if (--*waiting == 0)
            done(*is_running);
    };
    for (auto* other : access_.instances_()) {
        if (other == this)
            continue;
        ++*waiting;
        query_agent<bool>(
            other->id(),
            [other, endpoint, contents](simulated_agent&) {
                if (!other->router())
                    return false;
                other->router()->engine().learn_suspects(endpoint, contents);
                return other->router()->engine().running_contents().contains(contents.front());
            },
            [answered](std::optional<bool> is_running_there) { answered(is_running_there.value_or(false)); });
    }
    run_now([answered] { answered(false); });
}

auto simulated_instance::announce_cleared(state::content_fingerprint content) -> void
{
    for (auto* other : access_.instances_()) {
        if (other == this)
            continue;
        query_agent<bool>(
            other->id(),
            [other, content](simulated_agent&) {
                if (other->router())
                    other->router()->engine().learn_cleared(content);
                return true;
            },
            [](std::optional<bool>) {});
    }
}

auto simulated_instance::gossip() -> void
{
    const auto instances = access_.instances_();
    auto* peer = instances[context_.random_.below(instances.size())];
    const auto is_reachable = peer != this && peer->agent() != nullptr && !peer->is_frozen() &&
                              !context_.is_cut(id_.text(), peer->id().text()) &&
                              !context_.is_cut(peer->id().text(), id_.text());
    if (is_reachable)
        agent_->gossip_with(*peer->agent());
}

} // namespace buckthorndale::tests::world

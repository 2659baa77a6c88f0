#include "world/world_node.hpp"

#include "state/invariant.hpp"

#include <utility>

namespace buckthorndale::tests::world {

namespace {

constexpr auto router_tick = state::duration{std::chrono::milliseconds{10}};
constexpr auto hello_interval = state::duration{std::chrono::milliseconds{500}};
constexpr auto catch_up_interval = state::duration{std::chrono::seconds{1}};
constexpr auto gossip_interval = state::duration{std::chrono::seconds{2}};
constexpr auto write_interval = state::duration{std::chrono::milliseconds{200}};
constexpr auto balancer_lag = state::duration{std::chrono::milliseconds{300}};

} // namespace

world_node::world_node(environment& shared, state::instance_id id, state::data_centre_id data_centre,
                       surroundings around, coordination::routing::engine_settings settings)
    : shared_{shared}, id_{std::move(id)}, data_centre_{std::move(data_centre)}, around_{std::move(around)},
      settings_{settings}
{}

auto world_node::start() -> void
{
    life_ = state::incarnation{shared_.random_.next()};
    is_leaving_ = false;
    agent_ = std::make_unique<node_agent>(shared_, *this, life_);
    router_ = std::make_unique<node_router>(shared_, *this, life_, settings_);
    schedule_duties();
}

auto world_node::schedule_duties() -> void
{
    every(router_tick, [this] {
        if (router_)
            router_->tick();
        stop_if_drained();
    });
    every(hello_interval, [this] {
        if (router_)
            router_->say_hello();
    });
    every(catch_up_interval, [this] { agent_->catch_up(); });
    every(gossip_interval, [this] { gossip(); });
    every(write_interval, [this] { agent_->write_bills(); });
}

auto world_node::every(state::duration interval, std::function<void()> run) -> void
{
    run_later(interval, [this, interval, run] {
        run();
        every(interval, run);
    });
}

auto world_node::run_later(state::duration delay, scheduler::action run) -> void
{
    shared_.time_.after(delay, [this, life = life_, run = std::move(run)] { deliver(life, run); });
}

auto world_node::deliver(state::incarnation life, scheduler::action run) -> void
{
    if (life != life_)
        return;
    if (is_frozen()) {
        backlog_.emplace_back(life, std::move(run));
        return;
    }
    run();
}

auto world_node::freeze(state::duration time) -> void
{
    shared_.exercised_.count("freeze");
    shared_.note("freeze " + id_.text());
    frozen_until_ = shared_.time_.now() + time;
    shared_.time_.after(time, [this] { wake(); });
}

auto world_node::wake() -> void
{
    if (is_frozen())
        return;
    shared_.note("wake " + id_.text());
    auto waiting = std::exchange(backlog_, {});
    for (auto& [life, run] : waiting)
        deliver(life, std::move(run));
}

auto world_node::kill() -> void
{
    shared_.exercised_.count("kill-instance");
    shared_.note("kill " + id_.text());
    kill_router();
    agent_.reset();
    life_ = {};
}

auto world_node::kill_router() -> void
{
    if (!router_)
        return;
    const auto open = router_->open_submissions();
    router_.reset();
    // Events of the dead life are dropped, so the agent of a killed router starts anew with it.
    life_ = {};
    agent_.reset();
    backlog_.clear();
    for (const auto submission : open)
        around_.caller_->on_broken(submission);
}

auto world_node::begin_shutdown() -> void
{
    shared_.exercised_.count("graceful-shutdown");
    shared_.note("leaving " + id_.text());
    is_leaving_ = true;
    run_later(balancer_lag, [this] {
        if (router_)
            router_->engine().begin_shutdown();
        agent_->begin_shutdown();
    });
}

auto world_node::stop_if_drained() -> void
{
    if (!is_leaving_ || !router_ || !router_->is_drained() || agent_->book().size() > 0)
        return;
    state::verify(router_->open_submissions().empty(), state::guarantee::graceful_shutdown,
                  "a planned stop must not cut off a request");
    shared_.exercised_.count("graceful-stop");
    shared_.note("stopped " + id_.text());
    life_ = {};
    // The parts are used further up in this very call, so they end in an action of their own.
    auto agent = std::shared_ptr{std::move(agent_)};
    auto router = std::shared_ptr{std::move(router_)};
    shared_.time_.after({}, [agent, router] {});
}

auto world_node::submit(const submission& request) -> void
{
    if (!takes_requests()) {
        around_.caller_->on_broken(request.id_);
        return;
    }
    run_later(shared_.network_delay(), [this, request] {
        if (router_)
            router_->submit(request);
    });
}

auto world_node::claim(const state::claim_key& key, state::content_fingerprint content,
                       node_agent::claim_callback done) -> void
{
    run_later(state::duration{100}, [this, key, content, done] { agent_->claim(key, content, done); });
}

auto world_node::tell_agent(std::function<void(node_agent&)> message) -> void
{
    run_later(state::duration{100}, [this, message] { message(*agent_); });
}

auto world_node::ask_own_agent() -> std::optional<heard_from_agent>
{
    if (!agent_)
        return std::nullopt;
    return heard_from_agent{.is_confirmed_ = agent_->is_confirmed(),
                            .configuration_ = agent_->replica().current()};
}

auto world_node::send_copy(const state::instance_id& holder, const state::bill_record& record) -> void
{
    const auto id = coordination::billing::id_of(record);
    const auto is_primary = holder == id_;
    ask_other_agent<bool>(
        holder, [record, is_primary](node_agent& agent) { return agent.hold(record, is_primary); },
        [this, id, holder](std::optional<bool> is_held) {
            if (is_held.value_or(false))
                router_->replicator().acknowledge(id, holder, shared_.time_.now());
            else
                router_->replicator().reject(id, holder, shared_.time_.now());
        });
}

auto world_node::tell_backups(const coordination::billing::written_ranges& written) -> void
{
    for (auto* other : around_.nodes_()) {
        if (other == this || other->data_centre() != data_centre_)
            continue;
        ask_other_agent<bool>(
            other->id(),
            [written](node_agent& agent) {
                agent.release(written);
                return true;
            },
            [](std::optional<bool>) {});
    }
}

auto world_node::announce(const state::endpoint_id& endpoint,
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
    for (auto* other : around_.nodes_()) {
        if (other == this)
            continue;
        ++*waiting;
        ask_other_agent<bool>(
            other->id(),
            [other, endpoint, contents](node_agent&) {
                if (!other->router())
                    return false;
                other->router()->engine().learn_suspects(endpoint, contents);
                return other->router()->engine().running_contents().contains(contents.front());
            },
            [answered](std::optional<bool> is_running_there) { answered(is_running_there.value_or(false)); });
    }
    run_now([answered] { answered(false); });
}

auto world_node::announce_cleared(state::content_fingerprint content) -> void
{
    for (auto* other : around_.nodes_()) {
        if (other == this)
            continue;
        ask_other_agent<bool>(
            other->id(),
            [other, content](node_agent&) {
                if (other->router())
                    other->router()->engine().learn_cleared(content);
                return true;
            },
            [](std::optional<bool>) {});
    }
}

auto world_node::gossip() -> void
{
    const auto nodes = around_.nodes_();
    auto* peer = nodes[shared_.random_.below(nodes.size())];
    const auto is_reachable = peer != this && peer->agent() != nullptr && !peer->is_frozen() &&
                              !shared_.is_cut(id_.text(), peer->id().text()) &&
                              !shared_.is_cut(peer->id().text(), id_.text());
    if (is_reachable)
        agent_->gossip_with(*peer->agent());
}

} // namespace buckthorndale::tests::world

#pragma once

#include "coordination/billing/written_ranges.hpp"
#include "coordination/routing/engine_settings.hpp"
#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "world/caller_events.hpp"
#include "world/fake_endpoint.hpp"
#include "world/simulated_agent.hpp"
#include "world/simulated_router.hpp"
#include "world/simulation_context.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

/// What a router learns from its agent.
struct agent_update {
    bool is_confirmed_{false};
    std::shared_ptr<const state::configuration> configuration_;
};

/// An instance with a router and an agent; it can be killed, frozen, partitioned and shut down.
class simulated_instance {
public:
    struct simulation_access {
        std::function<fake_endpoint&(const state::endpoint_id&)> find_endpoint_;
        std::function<simulated_instance*(const state::instance_id&)> find_instance_;
        std::function<std::vector<simulated_instance*>()> instances_;
        caller_events* caller_{nullptr};
    };

    simulated_instance(simulation_context& context, state::instance_id id, state::data_centre_id data_centre,
                       simulation_access access, coordination::routing::engine_settings settings);

    auto start() -> void;
    auto kill() -> void;
    auto kill_router() -> void;
    auto freeze(state::duration time) -> void;
    auto begin_shutdown() -> void;

    auto is_alive() const -> bool { return router_ != nullptr; }

    auto is_frozen() const -> bool { return context_.time_.now() < frozen_until_; }

    auto is_leaving() const -> bool { return is_leaving_; }

    /// Whether the load balancer sends requests to this instance.
    auto accepts_requests() const -> bool { return is_alive() && !is_leaving_; }

    auto submit(const submission& request) -> void;

    auto id() const -> const state::instance_id& { return id_; }

    auto data_centre() const -> const state::data_centre_id& { return data_centre_; }

    auto router() -> simulated_router* { return router_.get(); }

    auto agent() -> simulated_agent* { return agent_.get(); }

    auto caller() -> caller_events& { return *access_.caller_; }

    auto find_endpoint(const state::endpoint_id& id) -> fake_endpoint& { return access_.find_endpoint_(id); }

    /// Runs an action after a delay, unless the instance was restarted meanwhile. A freeze defers the action.
    auto run_later(state::duration delay, scheduler::action run) -> void;

    auto run_now(scheduler::action run) -> void { deliver(incarnation_, std::move(run)); }

    /// Runs an action if the given incarnation is still the current one; a frozen instance runs it on resume.
    auto deliver(state::incarnation incarnation, scheduler::action run) -> void;

    auto incarnation() const -> state::incarnation { return incarnation_; }

    /// Calls the platform. The reply is empty on a timeout; the call may have taken effect nevertheless.
    template <typename Result>
    auto call_platform(std::function<Result()> effect, std::function<void(std::optional<Result>)> reply)
        -> void
    {
        const auto incarnation = incarnation_;
        const auto deliver_reply = [this, incarnation, reply](std::optional<Result> result) {
            deliver(incarnation, [reply, result = std::move(result)] { reply(result); });
        };
        const auto reply_after_timeout = [this, deliver_reply] {
            context_.time_.after(platform_timeout, [deliver_reply] { deliver_reply(std::nullopt); });
        };
        if (context_.is_cut(id_.text(), platform_name)) {
            reply_after_timeout();
            return;
        }
        const auto extra_delay =
            context_.faults_.is_platform_slow_
                ? state::duration{static_cast<state::duration::rep>(context_.random_.below(4'000'000))}
                : state::duration{0};
        const auto delay = context_.network_delay() + extra_delay;
        const auto is_late = delay >= platform_timeout;
        if (is_late)
            reply_after_timeout();
        context_.time_.after(delay, [this, effect, deliver_reply, reply_after_timeout, is_late] {
            if (context_.faults_.is_platform_down_) {
                if (!is_late)
                    reply_after_timeout();
                return;
            }
            auto result = effect();
            if (is_late)
                return;
            const auto is_lost = context_.random_.chance(context_.faults_.lost_answers_) ||
                                 context_.is_cut(platform_name, id_.text());
            if (is_lost) {
                context_.coverage_.count("answer-lost");
                reply_after_timeout();
                return;
            }
            context_.time_.after(context_.network_delay(),
                                 [deliver_reply, result] { deliver_reply(result); });
        });
    }

    /// Queries the agent of another instance; the reply is empty on a timeout.
    template <typename Result>
    auto query_agent(const state::instance_id& other, std::function<Result(simulated_agent&)> query,
                     std::function<void(std::optional<Result>)> reply) -> void
    {
        constexpr auto query_timeout = state::duration{std::chrono::milliseconds{500}};
        const auto incarnation = incarnation_;
        auto is_answered = std::make_shared<bool>(false);
        const auto deliver_reply = [this, incarnation, reply, is_answered](std::optional<Result> result) {
            if (!std::exchange(*is_answered, true))
                deliver(incarnation, [reply, result = std::move(result)] { reply(result); });
        };
        context_.time_.after(query_timeout, [deliver_reply] { deliver_reply(std::nullopt); });
        context_.time_.after(context_.network_delay(), [this, other, query, deliver_reply] {
            auto* target = access_.find_instance_(other);
            if (target == nullptr || target->agent() == nullptr || context_.is_cut(id_.text(), other.text()))
                return;
            // A frozen instance handles the query when it resumes, possibly after the timeout.
            target->run_now([this, target, other, query, deliver_reply] {
                auto result = query(*target->agent());
                if (!context_.is_cut(other.text(), id_.text()))
                    context_.time_.after(context_.network_delay(),
                                         [deliver_reply, result] { deliver_reply(result); });
            });
        });
    }

    auto claim(const state::claim_key& key, state::content_fingerprint content,
               simulated_agent::claim_callback done) -> void;
    auto send_to_agent(std::function<void(simulated_agent&)> message) -> void;
    auto poll_own_agent() -> std::optional<agent_update>;
    auto send_copy(const state::instance_id& holder, const state::bill_record& record) -> void;
    auto notify_backups(const coordination::billing::written_ranges& written) -> void;
    auto announce(const state::endpoint_id& endpoint, const std::vector<state::content_fingerprint>& contents,
                  std::function<void(bool is_running_elsewhere)> done) -> void;

    auto announce_cleared(state::content_fingerprint content) -> void;

private:
    auto resume() -> void;
    auto every(state::duration interval, std::function<void()> run) -> void;
    auto schedule_periodic_tasks() -> void;
    auto stop_if_drained() -> void;
    auto gossip() -> void;

    simulation_context& context_;
    state::instance_id id_;
    state::data_centre_id data_centre_;
    simulation_access access_;
    coordination::routing::engine_settings settings_;
    state::incarnation incarnation_;
    std::unique_ptr<simulated_agent> agent_;
    std::unique_ptr<simulated_router> router_;
    state::time_point frozen_until_;
    std::deque<std::pair<state::incarnation, scheduler::action>> backlog_;
    bool is_leaving_{false};
};

} // namespace buckthorndale::tests::world

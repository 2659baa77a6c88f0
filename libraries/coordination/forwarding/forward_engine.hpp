#pragma once

#include "coordination/admission/latency_window.hpp"
#include "coordination/forwarding/answer_pace.hpp"
#include "coordination/forwarding/endpoint_pool.hpp"
#include "coordination/forwarding/forward_ending.hpp"
#include "coordination/forwarding/forward_port.hpp"
#include "coordination/forwarding/forward_request.hpp"
#include "coordination/forwarding/forward_settings.hpp"
#include "coordination/forwarding/head_pace.hpp"
#include "coordination/forwarding/model_choice.hpp"
#include "coordination/forwarding/read_forecast.hpp"
#include "coordination/forwarding/service_roll_outs.hpp"
#include "coordination/forwarding/session_pins.hpp"
#include "coordination/forwarding/work_exchange.hpp"
#include "coordination/retry/retry_budget.hpp"
#include "coordination/suspicion/crash_suspects.hpp"
#include "coordination/time/clock_source.hpp"
#include "coordination/time/random_source.hpp"
#include "state/routing_table.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The head of an answer, as far as it decides what follows.
struct answer_head {
    state::attempt_handle attempt_;
    /// The model's own opinion of its answer, from 0 to 100, where it gives one.
    std::optional<std::int32_t> confidence_;
};

/// Decides about every forwarded request: route, owner, version, model, endpoint, retry, resume and
/// final answer. It does no input or output. All members are called from one thread.
template <time::clock_source Clock, time::random_source Random, forward_port Port>
class forward_engine {
public:
    forward_engine(const Clock& clock, Random& random, Port& port, forward_settings settings)
        : clock_{clock}, random_{random}, port_{port}, settings_{std::move(settings)},
          pins_{settings_.session_lifetime_}
    {}

    /// Takes a request in; the final answer comes through the port's finish or refuse, exactly once.
    auto arrive(state::request_handle handle, forward_request request) -> void;

    /// Takes over a configuration; an older one than the present is ignored.
    auto configure(std::shared_ptr<const state::routing_table> table) -> void;

    /// Notes whether changes of the configuration reach this instance now.
    auto set_fresh(bool is_fresh) -> void { is_fresh_ = is_fresh; }

    auto update_endpoints(const std::vector<state::registered_endpoint>& endpoints) -> void
    {
        pool_.update(endpoints);
        roll_outs_.note_endpoints(endpoints);
        has_endpoints_ = true;
    }

    auto update_roll_outs(const std::vector<state::staged_roll_out>& orders) -> void
    {
        roll_outs_.update(orders, clock_.now());
        has_roll_outs_ = true;
    }

    auto hear(const state::instance_id& from, report_scope scope, const roll_out_report& report) -> void
    {
        roll_outs_.hear(from, scope, report, clock_.now());
    }

    /// Takes over what another router says of the work that endpoints have.
    auto hear_work(const state::instance_id& from, report_scope scope, const std::vector<endpoint_work>& work)
        -> void
    {
        work_.hear(from, scope, work, clock_.now());
    }

    /// Counts what the other routers said of the endpoints' work, and returns what to tell them; to be called
    /// four times a second.
    auto share_work() -> work_report
    {
        const auto now = clock_.now();
        pool_.set_others(work_.others(now));
        return work_.report(pool_.own_work(), now);
    }

    /// Takes over another router's word that content was in flight when an endpoint crashed.
    auto learn_crash(const state::endpoint_id& endpoint, state::content_fingerprint content) -> void
    {
        suspects_.add_foreign(content, endpoint, clock_.now());
    }

    auto head_arrived(const answer_head& head) -> void;
    auto attempt_ended(const forward_ending& ending) -> void;
    auto caller_left(state::request_handle handle) -> void;

    /// Does what is due; to be called every 20 ms or so.
    auto tick() -> void;

    auto begin_stop() -> void
    {
        if (!stop_began_)
            stop_began_ = clock_.now();
    }

    /// Whether all is known that a request needs.
    auto is_ready() const -> bool
    {
        return table_->generation_ > state::generation{} && has_endpoints_ && has_roll_outs_ && !stop_began_;
    }

    auto size() const -> std::size_t { return entries_.size(); }

    auto roll_outs() -> service_roll_outs& { return roll_outs_; }

private:
    struct running_attempt {
        state::attempt_handle handle_;
        state::endpoint_id endpoint_;
        state::service_name service_;
        state::version_name version_;
        state::model_name model_;
        state::time_point started_;
        std::optional<state::duration> head_time_;
        bool is_held_{false};
        /// The time that the endpoint needs to the head of the answer, by forecast; zero once it has come.
        state::duration work_{0};
        /// What waited at the endpoint before it.
        state::duration queue_{0};
    };

    struct entry {
        state::request_handle handle_;
        forward_request request_;
        /// A copy: the request is answered under the configuration that it came under.
        state::route route_;
        state::workspace_id workspace_;
        std::int32_t priority_{0};
        state::time_point arrived_;
        state::time_point deadline_;
        std::optional<running_attempt> attempt_;
        /// Where it waits for room; empty when it does not wait.
        std::optional<state::service_name> waits_for_;
        std::int32_t attempts_{0};
        /// Endpoints that could not be reached; those are no attempts.
        std::int32_t unreached_{0};
        bool may_have_run_{false};
        /// The model stays from now on.
        bool is_model_settled_{false};
        /// Events were given out.
        bool is_released_{false};
        std::string last_event_;
        state::model_name model_;
        /// Where the last attempt went.
        state::service_name last_service_;
        state::version_name last_version_;
        std::set<state::endpoint_id> excluded_;
    };

    auto admit(state::request_handle handle, forward_request request) -> std::optional<routing::refusal>;
    auto enqueue(entry& item) -> void;
    /// Starts requests that wait, the most urgent first, as far as there is room.
    auto pump() -> void;
    auto sweep_waiting(state::time_point now) -> void;
    auto sweep_expired(state::time_point now) -> void;
    /// Gives up attempts whose head is late where another attempt is likely to be faster.
    auto sweep_late_heads(state::time_point now) -> void;
    auto abandon_attempt(entry& item) -> running_attempt;
    auto start(entry& item, const state::service_name& service, const std::string& reason) -> void;
    auto start_again(entry& item, const std::string& reason) -> void;
    auto query_for(const entry& item, const state::service_name& service, const state::model_name& model)
        -> pool_query;
    /// When the largest model would answer, counted from now.
    auto expected_of_largest(const entry& item) -> state::duration;
    /// Takes the attempt's work off its endpoint.
    auto settle(running_attempt& attempt) -> void;
    /// Takes the attempt off its request and its endpoint.
    auto detach_attempt(entry& item) -> running_attempt;
    auto pick_service(const entry& item) -> state::service_name;
    auto dispatch(entry& item, const pool_choice& choice, const std::string& reason) -> void;
    auto close_attempt(entry& item, const forward_ending& ending) -> running_attempt;
    auto learn(const entry& item, const running_attempt& attempt, const forward_ending& ending) -> void;
    auto record_evidence(const entry& item, const running_attempt& attempt, const forward_ending& ending)
        -> void;
    auto go_on_after(entry& item, const running_attempt& attempt, const forward_ending& ending) -> void;
    auto can_try_again(const entry& item, const running_attempt& attempt, forward_outcome outcome) -> bool;
    auto keep_session(const entry& item) -> void;
    auto finish(entry& item, state::attempt_handle attempt) -> void;
    auto refuse(entry& item, state::error_kind kind, const std::string& detail) -> void;
    auto retry_after() -> state::duration;
    auto log(const entry& item, std::string action, std::string reason) -> void;
    auto find(state::attempt_handle attempt) -> entry*;

    const Clock& clock_;
    Random& random_;
    Port& port_;
    forward_settings settings_;
    std::shared_ptr<const state::routing_table> table_{std::make_shared<state::routing_table>()};
    bool is_fresh_{false};
    bool has_endpoints_{false};
    bool has_roll_outs_{false};
    endpoint_pool pool_;
    service_roll_outs roll_outs_;
    session_pins pins_;
    answer_pace pace_;
    head_pace head_pace_;
    read_forecast forecast_;
    work_exchange work_;
    std::map<state::service_name, admission::latency_window> windows_;
    suspicion::crash_suspects suspects_;
    std::map<state::service_name, retry::retry_budget> budgets_;
    std::map<state::request_handle, entry> entries_;
    std::map<state::attempt_handle, state::request_handle> owners_;
    state::attempt_handle last_attempt_;
    std::optional<state::time_point> stop_began_;
};

} // namespace buckthorndale::coordination::forwarding

#include "coordination/forwarding/forward_engine_attempts.hpp"
#include "coordination/forwarding/forward_engine_requests.hpp"

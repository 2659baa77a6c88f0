#pragma once

#include "coordination/billing/bill_replicator.hpp"
#include "coordination/configuration/replica.hpp"
#include "router/actions.hpp"
#include "router/bill_port.hpp"
#include "router/events.hpp"
#include "router/router_settings.hpp"
#include "transport/duty/duty.hpp"
#include "transport/http/client.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/rpc/caller.hpp"
#include "transport/rpc/method_table.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace buckthorndale::services::router {

/// The duty that speaks with the agents and with the other routers.
class control_duty {
public:
    using decision_ring = transport::ring::bounded_ring<control_event>;
    using network_ring = transport::ring::bounded_ring<network_notice>;

    control_duty(const router_settings& settings, state::incarnation life);

    /// Tells whether an attempt with the content runs at this router now.
    using content_probe = std::function<bool(state::content_fingerprint)>;

    /// Connects the rings; to be called before start().
    auto connect(decision_ring& decision, network_ring& network, content_probe is_running) -> void;

    auto start() -> void;
    auto stop() -> void;

    /// Asks the decision duty to refuse new requests. Any thread.
    auto begin_shutdown() -> void;

    /// Bill records that are not yet held by enough instances. Any thread.
    auto pending_bills() const -> std::size_t { return pending_bills_.load(); }

    auto from_decision() -> transport::ring::bounded_ring<control_action>& { return from_decision_; }

    auto from_network() -> transport::ring::bounded_ring<control_action>& { return from_network_; }

private:
    template <typename Result>
    using awaitable = transport::http::awaitable<Result>;

    /// An announcement whose answers are still coming in.
    struct announcement {
        state::content_fingerprint content_;
        std::size_t missing_{0};
        bool is_running_elsewhere_{false};
    };

    auto offer_methods() -> void;
    auto serve(transport::http::exchange& exchange) -> awaitable<void>;
    auto take(control_action& action) -> void;
    auto keep_in_touch() -> awaitable<void>;
    auto say_hello() -> awaitable<bool>;
    auto hear(const protocol::rpc::hello_response& response, state::time_point asked_at) -> void;
    auto hear_news(const protocol::rpc::updates& updates) -> void;
    auto hear_list(const state::instance_list& list) -> void;
    auto send_copy(const state::instance_id& holder, const state::bill_record& record) -> void;
    auto copies_complete(const state::bill_record& record, bool is_degraded) -> void;
    auto watch_replication() -> awaitable<void>;
    auto claim(claim_call call) -> awaitable<void>;
    auto end_claim(protocol::rpc::claim_ended_request message) -> awaitable<void>;
    auto deliver_copy(state::instance_id holder, state::network_address agent, state::bill_record record)
        -> awaitable<void>;
    auto announce(announce_crash crash) -> awaitable<void>;
    auto announce_to(state::network_address router, Json::Value message,
                     std::shared_ptr<announcement> waiting) -> awaitable<void>;
    auto clear(state::content_fingerprint content) -> void;
    auto count_answer(announcement& waiting, bool is_running) -> void;
    auto claim_settled(const Json::Value& parameters) -> void;
    auto tell_decision(control_event event) -> void;
    auto tell_network(network_notice notice) -> void;

    router_settings settings_;
    state::incarnation life_;
    transport::duty::duty duty_{"control"};
    transport::http::client client_;
    transport::rpc::caller rpc_;
    transport::rpc::method_table methods_;
    transport::http::server server_;
    transport::http::asio::steady_timer poked_;
    transport::ring::bounded_ring<control_action> from_decision_;
    transport::ring::bounded_ring<control_action> from_network_;
    decision_ring* decision_{nullptr};
    network_ring* network_{nullptr};
    content_probe is_running_;
    coordination::configuration::replica replica_;
    bill_port bill_port_;
    coordination::billing::bill_replicator<bill_port> replicator_;
    std::map<coordination::billing::record_id, state::request_handle> billed_requests_;
    state::instance_list list_;
    coordination::roll_out::evidence_report evidence_;
    std::atomic<std::size_t> pending_bills_{0};
    bool is_in_touch_{false};
    transport::process::system_clock clock_;
    transport::logging::logger log_{"control"};
};

} // namespace buckthorndale::services::router

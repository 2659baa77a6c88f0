#pragma once

#include "coordination/forwarding/endpoint_directory.hpp"
#include "coordination/membership/store_search.hpp"
#include "coordination/membership/store_watchers.hpp"
#include "front/events.hpp"
#include "front/front_settings.hpp"
#include "front/object_mirror.hpp"
#include "front/peer_link.hpp"
#include "platform/store_client.hpp"
#include "transport/http/client.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/random.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/ring/notifier.hpp"
#include "transport/worker/worker.hpp"

#include <functional>
#include <set>
#include <string>

namespace buckthorndale::services::front {

/// The duty that follows the platform's store, records roll-outs there, and talks to the other instances.
class control_duty {
public:
    using limits_callback = std::function<void(const state::caller_limits&)>;

    explicit control_duty(const front_settings& settings);

    /// Connects the ring to the decision duty; to be called before start(). The callback gets the callers'
    /// limits on the control thread.
    auto connect(transport::ring::bounded_ring<control_event>& decision, limits_callback on_limits) -> void;

    auto start() -> void;
    auto stop() -> void;

    auto from_decision() -> transport::ring::bounded_ring<control_action>& { return from_decision_; }

    /// Tells the decision duty that the process is to stop; any thread.
    auto begin_stop() -> void;

private:
    /// One kind of object that is followed.
    struct followed_kind {
        object_mirror mirror_;
        std::function<void()> on_change_;
        bool is_lost_{true};
        state::time_point lost_since_{};
        /// The watcher that was asked last.
        std::optional<state::network_address> watcher_;
    };

    auto follow(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Follows the watchers of the own data centre while this instance does not watch the store itself. Each
    /// kind has its own conversation, so that a long configuration holds up no list of endpoints.
    auto follow_watchers(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Reads from one watcher until it fails or cannot vouch for what it says.
    auto follow_watcher(followed_kind& kind, const state::network_address& watcher)
        -> transport::http::awaitable<void>;
    /// Does the same and logs how it ended.
    auto follow_watcher_until_fault(followed_kind& kind, const state::network_address& watcher)
        -> transport::http::awaitable<void>;
    /// Finds out whether the store still answers, for those that follow this instance.
    auto vouch_for_store() -> transport::http::awaitable<void>;
    auto try_store() -> transport::http::awaitable<void>;

    auto watches_store() const -> bool { return watchers_.is_watcher() || clock_.now() < watches_until_; }

    auto is_fresh() const -> bool;
    auto follow_until_fault(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Acts on changed objects and lets the instances know that wait for them.
    auto take_over(followed_kind& kind) -> void;
    auto mark_regained(followed_kind& kind) -> void;
    auto mark_lost(followed_kind& kind, const std::string& reason) -> void;
    auto take_configuration() -> void;
    auto take_endpoints() -> void;
    auto publish_endpoints() -> void;
    auto take_roll_outs() -> void;
    auto register_instance() -> transport::http::awaitable<void>;
    auto follow_instances() -> transport::http::awaitable<void>;
    auto ask_peers_in_outage() -> transport::http::awaitable<void>;
    /// Takes over what an instance knows of one kind and this one does not, after waiting there for news.
    /// Returns whether that instance hears the store now.
    auto read_peer(followed_kind& kind, const state::network_address& peer, state::duration patience)
        -> transport::http::awaitable<bool>;
    auto serve_peer(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto take(control_action& action) -> void;
    auto share(const share_by_scope& evidence) -> void;
    auto record(forwarding::roll_out_step step) -> transport::http::awaitable<void>;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;
    auto tell_decision(control_event event) -> void;
    auto kinds() -> std::vector<followed_kind*>;
    auto kinds() const -> std::vector<const followed_kind*>;
    auto find_kind(std::string_view name) -> followed_kind*;

    front_settings settings_;
    transport::logging::logger log_{"control"};
    transport::process::system_clock clock_;
    transport::process::system_random random_;
    transport::worker::worker duty_{"control"};
    transport::http::client client_;
    platform::store_client store_;
    transport::http::server control_server_;
    peer_link peers_;
    coordination::membership::store_watchers watchers_;
    /// An instance that finds no watcher watches the store itself until then.
    state::time_point watches_until_{};
    coordination::membership::store_search search_;
    bool are_instances_known_{false};
    bool hears_store_{true};
    /// Announces changed objects, and that this instance no longer vouches for the store.
    transport::ring::notifier news_;
    followed_kind configuration_;
    followed_kind endpoints_;
    followed_kind roll_outs_;
    forwarding::endpoint_directory directory_;
    boost::asio::steady_timer directory_timer_;
    state::generation generation_;
    /// Services whose step is being recorded now.
    std::set<state::service_name> recording_;
    limits_callback on_limits_;
    transport::ring::bounded_ring<control_event>* decision_{nullptr};
    transport::ring::bounded_ring<control_action> from_decision_;
};

} // namespace buckthorndale::services::front

#pragma once

#include "coordination/forwarding/endpoint_directory.hpp"
#include "coordination/forwarding/roll_out_directory.hpp"
#include "coordination/membership/currency.hpp"
#include "coordination/membership/store_fallback.hpp"
#include "coordination/membership/store_read_pacing.hpp"
#include "coordination/membership/store_watchers.hpp"
#include "front/events.hpp"
#include "front/front_settings.hpp"
#include "front/peer_link.hpp"
#include "front/store_gauge.hpp"
#include "platform/endpoint_reader.hpp"
#include "platform/object_mirror.hpp"
#include "platform/store_client.hpp"
#include "protocol/json/unreadable_part.hpp"
#include "transport/http/client.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/random.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/ring/notifier.hpp"
#include "transport/worker/worker.hpp"

#include <boost/asio/cancellation_signal.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::services::front {

/// The position as fields of a log line.
auto text_of(state::store_position position) -> std::string;

/// Follows the platform's store, records roll-out steps there, and communicates with the other instances, all
/// on its own thread.
class control_worker {
public:
    using limits_callback = std::function<void(const state::caller_limits&)>;

    explicit control_worker(const front_settings& settings);

    /// Sets the ring to the decision worker; must be called before start(). The callback receives the limits
    /// for callers on the control thread.
    auto connect(transport::ring::bounded_ring<control_event>& decision, limits_callback on_limits) -> void;

    auto start() -> void;
    auto stop() -> void;

    auto from_decision() -> transport::ring::bounded_ring<control_action>& { return from_decision_; }

    /// Any thread.
    auto gauge() const -> const store_gauge& { return gauge_; }

    /// Tells the decision worker that the process is stopping; any thread.
    auto begin_stop() -> void;

    /// Tells the decision worker to end all requests, as the process is about to end; any thread.
    auto end_stop() -> void;

private:
    /// State of following one kind of object.
    struct followed_kind {
        object_kind kind_;
        platform::object_mirror mirror_;
        std::function<void()> on_change_;
        coordination::membership::currency currency_;
        /// Wakes check_currency().
        std::unique_ptr<transport::ring::notifier> check_wake_;
        /// The newest position of another instance that has other objects; 0 after it was looked into.
        state::store_position hinted_;
        bool is_lost_{true};
        /// Whether the store answers, but its list was not read to its end.
        bool is_partly_read_{false};
        state::time_point lost_since_{};
        /// Until then this instance watches the kind itself, because its watchers do not serve it.
        state::time_point watched_until_{};
        /// The watcher that was queried last.
        std::optional<state::network_address> watcher_;
        /// Ends the watch of the store that is waiting, if any.
        std::unique_ptr<boost::asio::cancellation_signal> watch_end_{
            std::make_unique<boost::asio::cancellation_signal>()};
    };

    auto follow_store(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Follows the watchers of the own data centre while this instance does not watch the store itself. Each
    /// kind is read separately, so that a large configuration does not delay the list of endpoints.
    auto follow_watchers(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Reads from one watcher until it fails or cannot confirm that its objects are current.
    auto follow_watcher(followed_kind& kind, const state::network_address& watcher)
        -> transport::http::awaitable<void>;
    /// Calls follow_watcher() and logs its errors.
    auto follow_watcher_until_fault(followed_kind& kind, const state::network_address& watcher)
        -> transport::http::awaitable<void>;
    /// Reads the changes of a kind again and again, unless other instances confirm that it is current.
    auto check_currency(followed_kind& kind) -> transport::http::awaitable<void>;
    auto check_now(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Marks kinds as lost that were not confirmed in time, whatever the reason.
    auto expire_kinds() -> transport::http::awaitable<void>;
    /// Marks a kind as lost and lets it be read anew.
    auto read_again(followed_kind& kind, const std::string& reason) -> void;
    /// Tells the other instances that watch the store that a kind is current.
    auto announce_confirmation(followed_kind& kind, state::time_point asked_at) -> void;
    auto hear_confirmations(const protocol::peer::peer_message& message) -> void;
    auto try_watching_store() -> transport::http::awaitable<void>;

    /// Takes the era from an answer of the store or of another instance. What was read in an earlier era must
    /// be read again.
    auto learn_era(state::store_era era) -> void;

    auto watches_store() const -> bool { return watchers_.is_watcher() || clock_.now() < watches_until_; }

    /// Whether this instance follows the kind in the store rather than through other instances.
    auto watches(const followed_kind& kind) const -> bool
    {
        return watches_store() || clock_.now() < kind.watched_until_;
    }

    auto is_fresh() const -> bool;
    auto follow_store_until_fault(followed_kind& kind) -> transport::http::awaitable<void>;
    /// Watches the store like store_client::watch(), but fails when learn_era() ends the watch.
    auto watch_until_restore(followed_kind& kind) -> transport::http::awaitable<platform::object_changes>;
    /// Processes changed objects and wakes the requests of instances that wait for changes.
    auto apply_changes(followed_kind& kind) -> void;
    /// Records that the objects were current up to a position when a read was sent.
    auto record_confirmation(followed_kind& kind, state::time_point asked_at, state::store_position position)
        -> void;
    auto publish_confirmation(const followed_kind& kind) -> void;
    /// Takes over what was read of a list that was not read to its end.
    auto keep_partial_listing(followed_kind& kind, const platform::object_listing& listing) -> void;
    auto log_unreadable(const followed_kind& kind, const std::vector<protocol::json::unreadable_part>& parts)
        -> void;
    auto mark_regained(followed_kind& kind) -> void;
    auto mark_lost(followed_kind& kind, const std::string& reason) -> void;
    /// Records, after mark_lost(), that the store does not answer, so that entries may lapse there. Otherwise
    /// they are missing because their endpoints have gone.
    auto mark_store_away(const followed_kind& kind) -> void;
    auto apply_configuration() -> void;
    auto apply_endpoints() -> void;
    auto publish_endpoints() -> void;
    auto schedule_endpoint_expiry() -> void;
    auto apply_roll_outs() -> void;
    auto apply_emptied_data_centres() -> void;
    auto instance_spec() const -> Json::Value;
    /// Tells the decision worker which instances there are.
    auto publish_instances() -> void;
    auto register_instance() -> transport::http::awaitable<void>;
    /// Registers this instance if the listing of instances lacks it.
    auto register_again(const platform::object_listing& listing) -> transport::http::awaitable<void>;
    auto follow_instances() -> transport::http::awaitable<void>;
    auto poll_peers_in_outage() -> transport::http::awaitable<void>;
    /// Reads the objects of one kind from another instance, which delays its answer for up to the given time
    /// when it has no updates. Returns whether that instance confirms that it reaches the store.
    auto fetch_from_peer(followed_kind& kind, const state::network_address& peer,
                         state::duration wait_timeout) -> transport::http::awaitable<bool>;
    auto serve_peer(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto perform(control_action& action) -> void;
    auto send_reports(const report_by_scope& reports) -> void;
    auto record_step(forwarding::roll_out_step step) -> transport::http::awaitable<void>;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;
    /// A random number from 0 to 1.
    auto draw() -> double;
    auto post_to_decision(control_event event) -> void;
    auto kinds() -> std::vector<followed_kind*>;
    auto kinds() const -> std::vector<const followed_kind*>;
    auto find_kind(std::string_view name) -> followed_kind*;

    front_settings settings_;
    transport::logging::logger log_{"control"};
    transport::process::system_clock clock_;
    transport::process::system_random random_;
    transport::worker::worker worker_{"control"};
    transport::http::client client_;
    platform::store_client store_;
    transport::http::server control_server_;
    peer_link peers_;
    coordination::membership::store_watchers watchers_;
    /// Until then this instance watches the store itself, because no watcher answered.
    state::time_point watches_until_{};
    coordination::membership::store_fallback fallback_;
    bool are_instances_known_{false};
    /// The newest known era; 0 until the first.
    state::store_era era_;
    bool has_seen_restore_{false};
    /// Wakes the registration of this instance when the store was restored.
    transport::ring::notifier restores_;
    /// When this thread was last seen running.
    state::time_point awake_at_{};
    /// Wakes waiting requests of followers when objects change or are lost.
    transport::ring::notifier updates_;
    store_gauge gauge_;
    followed_kind configuration_;
    followed_kind endpoints_;
    followed_kind roll_outs_;
    followed_kind emptied_data_centres_;
    platform::endpoint_reader endpoint_reader_;
    forwarding::endpoint_directory directory_;
    forwarding::roll_out_directory orders_;
    boost::asio::steady_timer directory_timer_;
    state::generation generation_;
    /// Services with a roll-out step that is being recorded.
    std::set<state::service_name> recording_;
    limits_callback on_limits_;
    transport::ring::bounded_ring<control_event>* decision_{nullptr};
    transport::ring::bounded_ring<control_action> from_decision_;
};

} // namespace buckthorndale::services::front

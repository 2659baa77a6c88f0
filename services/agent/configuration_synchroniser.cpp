#include <utility>

#include "agent/configuration_synchroniser.hpp"

#include "coordination/placement/holder_order.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/json/text.hpp"
#include "protocol/platform/object_names.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <ranges>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace names = protocol::platform;
namespace rpc = protocol::rpc;
using coordination::configuration::offer_result;

namespace {

constexpr auto watchers_per_data_centre = std::size_t{2};
constexpr auto watch_timeout = state::duration{std::chrono::seconds{20}};
constexpr auto outage_retry_interval = state::duration{std::chrono::seconds{1}};
/// Members that do not watch poll the platform this often, in case all watchers are gone.
constexpr auto non_watcher_poll_interval = state::duration{std::chrono::seconds{30}};
constexpr auto instance_list_poll_interval = state::duration{std::chrono::seconds{1}};
constexpr auto gossip_interval = state::duration{std::chrono::seconds{2}};
constexpr auto gossip_interval_unconfirmed = state::duration{std::chrono::milliseconds{200}};
constexpr auto rounds_between_remote_peers = std::uint64_t{4};
constexpr auto peer_timeout = state::duration{std::chrono::milliseconds{800}};
constexpr auto page_size = std::size_t{200};
constexpr auto changes_per_snapshot = std::uint64_t{64};

auto make_reader(const Json::Value& value) -> protocol::json::object_reader
{
    return {value, "", state::error_kind::platform_unavailable};
}

} // namespace

auto configuration_synchroniser::start() -> void
{
    const auto spawn = [this](http::awaitable<void> work) {
        http::asio::co_spawn(shared_.context_, std::move(work), http::asio::detached);
    };
    freshness_.observe(shared_.clock_.now());
    spawn(watch_changes());
    spawn(watch_instances());
    spawn(gossip());
}

auto configuration_synchroniser::catch_up() -> http::awaitable<bool>
{
    const auto asked_at = shared_.clock_.now();
    if (!shared_.replica_.is_known()) {
        const auto is_reachable = co_await read_snapshot();
        if (!is_reachable)
            co_return false;
    }
    while (true) {
        const auto known = shared_.replica_.current()->generation_;
        // The last known change is read again: if it is gone, the platform was restored from an older copy.
        const auto from = known == state::generation{} ? known : state::generation{known.value() - 1};
        const auto page =
            co_await shared_.platform_.list(names::change_prefix, names::change_name(from), page_size);
        if (!page.is_available_)
            co_return false;
        const auto is_platform_behind =
            known > state::generation{} &&
            (page.objects_.empty() || page.objects_.front().name_ != names::change_name(known));
        if (is_platform_behind) {
            co_await republish_from(known);
            break;
        }
        for (const auto& object : page.objects_)
            apply_change_text(object.value_);
        if (page.objects_.size() < page_size)
            break;
    }
    mark_synchronised(asked_at);
    co_return true;
}

auto configuration_synchroniser::read_snapshot() -> http::awaitable<bool>
{
    const auto reading = co_await shared_.platform_.read(names::snapshot_name);
    if (!reading.is_available_)
        co_return false;
    if (!reading.object_)
        co_return true;
    try {
        const auto value =
            protocol::json::parse(reading.object_->value_, state::error_kind::platform_unavailable);
        shared_.replica_.offer_snapshot(protocol::codec::read_configuration(make_reader(value)));
    } catch (const state::error& fault) {
        log_.error(std::string{"Cannot parse the configuration snapshot. "} + fault.what());
    }
    co_return true;
}

auto configuration_synchroniser::apply_change_text(const std::string& text) -> void
{
    try {
        const auto value = protocol::json::parse(text, state::error_kind::platform_unavailable);
        const auto change = protocol::codec::read_change(make_reader(value));
        const auto result = shared_.replica_.offer_change(change);
        if (result == offer_result::applied)
            log_.info("Change " + std::to_string(change.generation_.value()) + " by " + change.author_ +
                      " is in force here.");
        if (result == offer_result::diverged)
            log_.error("Change " + std::to_string(change.generation_.value()) +
                       " belongs to another history and is rejected. Ask the platform's operators.");
    } catch (const state::error& fault) {
        log_.error(std::string{"Cannot parse a configuration change. "} + fault.what());
    }
}

auto configuration_synchroniser::republish_from(state::generation first) -> http::awaitable<void>
{
    log_.warn("The platform lacks changes that were accepted; writing them again.");
    auto number = first;
    // Goes backwards to the last change that the platform still has.
    while (const auto* change = shared_.replica_.find_change(number)) {
        const auto text = protocol::json::to_text(protocol::codec::to_json(*change));
        const auto result = co_await shared_.platform_.create(names::change_name(number), text);
        if (result != transport::platform::put_result::written || number == state::generation{1})
            co_return;
        number = state::generation{number.value() - 1};
    }
}

auto configuration_synchroniser::watch_changes() -> http::awaitable<void>
{
    while (true) {
        const auto before = shared_.replica_.current()->generation_;
        const auto is_reachable = co_await catch_up();
        if (is_reachable != is_platform_reachable_)
            log_.info(is_reachable ? "The platform answers." : "The platform does not answer.");
        is_platform_reachable_ = is_reachable;
        if (shared_.replica_.current()->generation_ > before) {
            broadcast_change();
            co_await write_snapshot_if_due();
        }
        if (!is_reachable) {
            co_await sleep(outage_retry_interval);
            continue;
        }
        if (!is_watcher()) {
            co_await sleep(non_watcher_poll_interval);
            continue;
        }
        const auto watched =
            co_await shared_.platform_.watch(names::change_prefix, watched_version_, watch_timeout);
        if (watched.is_available_)
            watched_version_ = watched.version_;
        else
            co_await sleep(outage_retry_interval);
    }
}

auto configuration_synchroniser::watch_instances() -> http::awaitable<void>
{
    while (true) {
        const auto is_due = is_watcher() || shared_.instance_list_.version_ == 0;
        if (is_due) {
            auto result = co_await shared_.platform_.instances(shared_.settings_.data_centre_,
                                                               shared_.instance_list_.version_);
            log_unreadable(result.unreadable_);
            if (result.list_)
                apply_instance_list(std::move(*result.list_));
        }
        co_await sleep(instance_list_poll_interval);
    }
}

auto configuration_synchroniser::log_unreadable(
    const std::vector<protocol::json::unreadable_part>& entries) const -> void
{
    constexpr auto max_logged = std::size_t{8};
    for (const auto& entry : entries | std::views::take(max_logged))
        log_.warn("Entry " + transport::logging::field_text(entry.path_) + " of the instance list, one of " +
                  std::to_string(entries.size()) + " that cannot be read, is skipped. " + entry.reason_);
}

auto configuration_synchroniser::apply_instance_list(state::instance_list list) -> void
{
    if (list.version_ <= shared_.instance_list_.version_)
        return;
    shared_.instance_list_ = std::move(list);
    log_.info("The instance list is now at version " + std::to_string(shared_.instance_list_.version_) + ".");
    broadcast_instance_list();
}

auto configuration_synchroniser::apply_updates(const rpc::updates& updates) -> void
{
    const auto before = shared_.replica_.current()->generation_;
    if (updates.snapshot_)
        shared_.replica_.offer_snapshot(*updates.snapshot_);
    for (const auto& change : updates.changes_)
        shared_.replica_.offer_change(change);
    auto has_updates = shared_.replica_.current()->generation_ > before;
    if (updates.list_ && updates.list_->version_ > shared_.instance_list_.version_) {
        shared_.instance_list_ = *updates.list_;
        has_updates = true;
    }
    if (has_updates)
        wake_routers();
}

auto configuration_synchroniser::broadcast_change() -> void
{
    const auto current = shared_.replica_.current()->generation_;
    if (current == state::generation{})
        return;
    // Peers are usually one change behind; gossip repairs any other gap.
    broadcast(updates_for({.generation_ = state::generation{current.value() - 1},
                           .list_version_ = shared_.instance_list_.version_}));
}

auto configuration_synchroniser::broadcast_instance_list() -> void
{
    broadcast(updates_for({.generation_ = shared_.replica_.current()->generation_, .list_version_ = 0}));
}

auto configuration_synchroniser::broadcast(const rpc::updates& updates) -> void
{
    wake_routers();
    for (const auto& peer : shared_.peers_in_data_centre())
        http::asio::co_spawn(shared_.context_, send_updates(peer, updates), http::asio::detached);
}

auto configuration_synchroniser::send_updates(state::network_address peer, rpc::updates updates)
    -> http::awaitable<void>
{
    try {
        co_await shared_.rpc_.call(peer, rpc::learn, rpc::to_json(updates), peer_timeout);
    } catch (const http::client_error&) {
        // Gossip delivers the updates later.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_synchroniser::wake_routers() -> void
{
    for (const auto& [address, router] : shared_.routers_)
        http::asio::co_spawn(shared_.context_, wake_router(address), http::asio::detached);
}

auto configuration_synchroniser::wake_router(state::network_address router) -> http::awaitable<void>
{
    try {
        co_await shared_.rpc_.call(router, rpc::poke, Json::Value{Json::objectValue}, peer_timeout);
    } catch (const http::client_error&) {
        // The router polls twice a second anyway.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_synchroniser::own_knowledge() const -> rpc::state_digest
{
    const auto current = shared_.replica_.current();
    return {.generation_ = current->generation_,
            .chain_ = current->chain_,
            .list_version_ = shared_.instance_list_.version_};
}

auto configuration_synchroniser::updates_for(const rpc::state_digest& known) const -> rpc::updates
{
    auto updates = rpc::updates{};
    const auto current = shared_.replica_.current();
    if (known.generation_ < current->generation_) {
        if (shared_.replica_.has_changes_since(known.generation_))
            updates.changes_ = shared_.replica_.changes_after(known.generation_);
        else
            updates.snapshot_ = *current;
    }
    if (known.list_version_ < shared_.instance_list_.version_)
        updates.list_ = shared_.instance_list_;
    return updates;
}

auto configuration_synchroniser::answer_gossip(const rpc::gossip_request& request) -> rpc::gossip_response
{
    return {.digest_ = own_knowledge(),
            .is_confirmed_ = is_confirmed(),
            .updates_ = updates_for(request.digest_)};
}

auto configuration_synchroniser::is_confirmed() -> bool
{
    const auto now = shared_.clock_.now();
    freshness_.observe(now);
    return shared_.replica_.is_known() && freshness_.may_confirm(now);
}

auto configuration_synchroniser::mark_synchronised(state::time_point asked_at) -> void
{
    freshness_.observe(shared_.clock_.now());
    freshness_.mark_synchronised(asked_at);
}

auto configuration_synchroniser::gossip() -> http::awaitable<void>
{
    while (true) {
        freshness_.observe(shared_.clock_.now());
        // About one round in four picks from all data centres; another one may still reach the platform.
        const auto is_remote_round = shared_.random_.next() % rounds_between_remote_peers == 0;
        const auto peers =
            is_remote_round ? shared_.peers_in_all_data_centres() : shared_.peers_in_data_centre();
        if (!peers.empty())
            co_await gossip_with(peers[shared_.random_.next() % peers.size()]);
        const auto is_unconfirmed = !is_confirmed();
        co_await sleep(is_unconfirmed ? gossip_interval_unconfirmed : gossip_interval);
    }
}

auto configuration_synchroniser::gossip_with(state::network_address peer) -> http::awaitable<void>
{
    const auto request = rpc::gossip_request{.from_ = shared_.settings_.instance_,
                                             .incarnation_ = shared_.incarnation_,
                                             .digest_ = own_knowledge()};
    const auto asked_at = shared_.clock_.now();
    try {
        const auto result =
            co_await shared_.rpc_.call(peer, rpc::gossip, rpc::to_json(request), peer_timeout);
        const auto response = rpc::read_gossip_response(result);
        apply_updates(response.updates_);
        // A peer that is not confirmed itself cannot tell whether its configuration is the newest.
        if (response.is_confirmed_)
            mark_synchronised(asked_at);
        const auto own = own_knowledge();
        const auto is_peer_behind = response.digest_.generation_ < own.generation_ ||
                                    response.digest_.list_version_ < own.list_version_;
        if (is_peer_behind)
            co_await send_updates(peer, updates_for(response.digest_));
    } catch (const http::client_error&) {
        // Another peer is chosen in the next round.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_synchroniser::write_snapshot_if_due() -> http::awaitable<void>
{
    const auto current = shared_.replica_.current();
    if (current->generation_.value() % changes_per_snapshot != 0)
        co_return;
    const auto text = protocol::json::to_text(protocol::codec::to_json(*current));
    const auto reading = co_await shared_.platform_.read(names::snapshot_name);
    if (!reading.is_available_)
        co_return;
    if (!reading.object_) {
        co_await shared_.platform_.create(names::snapshot_name, text);
        co_return;
    }
    const auto value =
        protocol::json::parse(reading.object_->value_, state::error_kind::platform_unavailable);
    if (make_reader(value).number("generation") < current->generation_.value())
        co_await shared_.platform_.replace(names::snapshot_name, reading.object_->tag_, text);
}

auto configuration_synchroniser::is_watcher() const -> bool
{
    return coordination::placement::is_watcher(shared_.settings_.instance_, shared_.settings_.data_centre_,
                                               shared_.instance_list_.members_, watchers_per_data_centre);
}

auto configuration_synchroniser::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{shared_.context_, time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

} // namespace buckthorndale::services::agent

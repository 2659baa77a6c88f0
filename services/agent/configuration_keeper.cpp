#include <utility>

#include "agent/configuration_keeper.hpp"

#include "coordination/placement/holder_order.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/json/text.hpp"
#include "protocol/platform/object_names.hpp"
#include "protocol/rpc/message_codec.hpp"
#include "protocol/rpc/method_names.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace names = protocol::platform;
namespace rpc = protocol::rpc;
using coordination::configuration::offer_result;

namespace {

constexpr auto watchers_of_a_data_centre = std::size_t{2};
constexpr auto watch_wait = state::duration{std::chrono::seconds{20}};
constexpr auto outage_pause = state::duration{std::chrono::seconds{1}};
/// Members that do not watch look at the platform this often, in case all watchers are gone.
constexpr auto slow_poll = state::duration{std::chrono::seconds{30}};
constexpr auto list_poll = state::duration{std::chrono::seconds{1}};
constexpr auto gossip_interval = state::duration{std::chrono::seconds{2}};
constexpr auto gossip_interval_alone = state::duration{std::chrono::milliseconds{200}};
constexpr auto rounds_between_far_peers = std::uint64_t{4};
constexpr auto peer_limit = state::duration{std::chrono::milliseconds{800}};
constexpr auto page_size = std::size_t{200};
constexpr auto changes_between_snapshots = std::uint64_t{64};

auto reader_of(const Json::Value& value) -> protocol::json::object_reader
{
    return {value, "", state::error_kind::platform_unavailable};
}

} // namespace

auto configuration_keeper::start() -> void
{
    const auto spawn = [this](http::awaitable<void> work) {
        http::asio::co_spawn(shared_.context_, std::move(work), http::asio::detached);
    };
    freshness_.observe(shared_.clock_.now());
    spawn(watch_changes());
    spawn(watch_instances());
    spawn(gossip());
}

auto configuration_keeper::catch_up() -> http::awaitable<bool>
{
    const auto asked_at = shared_.clock_.now();
    if (!shared_.replica_.is_known()) {
        const auto is_reachable = co_await read_snapshot();
        if (!is_reachable)
            co_return false;
    }
    while (true) {
        const auto known = shared_.replica_.current()->generation_;
        // The last known change is read again: if it is gone, the platform came back with an older copy.
        const auto from = known == state::generation{} ? known : state::generation{known.value() - 1};
        const auto page =
            co_await shared_.platform_.list(names::change_prefix, names::change_name(from), page_size);
        if (!page.is_available_)
            co_return false;
        const auto is_behind =
            known > state::generation{} &&
            (page.objects_.empty() || page.objects_.front().name_ != names::change_name(known));
        if (is_behind) {
            co_await republish_from(known);
            break;
        }
        for (const auto& object : page.objects_)
            take_change(object.value_);
        if (page.objects_.size() < page_size)
            break;
    }
    mark_heard(asked_at);
    co_return true;
}

auto configuration_keeper::read_snapshot() -> http::awaitable<bool>
{
    const auto reading = co_await shared_.platform_.read(names::snapshot_name);
    if (!reading.is_available_)
        co_return false;
    if (!reading.object_)
        co_return true;
    try {
        const auto value =
            protocol::json::parse(reading.object_->value_, state::error_kind::platform_unavailable);
        shared_.replica_.offer_snapshot(protocol::codec::read_configuration(reader_of(value)));
    } catch (const state::error& fault) {
        log_.error(std::string{"The snapshot cannot be read. "} + fault.what());
    }
    co_return true;
}

auto configuration_keeper::take_change(const std::string& text) -> void
{
    try {
        const auto value = protocol::json::parse(text, state::error_kind::platform_unavailable);
        const auto change = protocol::codec::read_change(reader_of(value));
        const auto result = shared_.replica_.offer_change(change);
        if (result == offer_result::applied)
            log_.info("Change " + std::to_string(change.generation_.value()) + " by " + change.author_ +
                      " is in force here.");
        if (result == offer_result::diverged)
            log_.error("Change " + std::to_string(change.generation_.value()) +
                       " belongs to another history and is not taken. Ask the platform's operators.");
    } catch (const state::error& fault) {
        log_.error(std::string{"A change cannot be read. "} + fault.what());
    }
}

auto configuration_keeper::republish_from(state::generation first) -> http::awaitable<void>
{
    log_.warn("The platform lacks changes that were accepted. They are written again.");
    auto number = first;
    // Back to the last change that the platform still has.
    while (const auto* change = shared_.replica_.find_change(number)) {
        const auto text = protocol::json::to_text(protocol::codec::to_json(*change));
        const auto result = co_await shared_.platform_.create(names::change_name(number), text);
        if (result != transport::platform::put_result::written || number == state::generation{1})
            co_return;
        number = state::generation{number.value() - 1};
    }
}

auto configuration_keeper::watch_changes() -> http::awaitable<void>
{
    while (true) {
        const auto before = shared_.replica_.current()->generation_;
        const auto is_reachable = co_await catch_up();
        if (is_reachable != is_platform_reachable_)
            log_.info(is_reachable ? "The platform answers." : "The platform does not answer.");
        is_platform_reachable_ = is_reachable;
        if (shared_.replica_.current()->generation_ > before) {
            spread_change();
            co_await write_snapshot_if_due();
        }
        if (!is_reachable) {
            co_await sleep(outage_pause);
            continue;
        }
        if (!is_watcher()) {
            co_await sleep(slow_poll);
            continue;
        }
        const auto watched =
            co_await shared_.platform_.watch(names::change_prefix, watched_version_, watch_wait);
        if (watched.is_available_)
            watched_version_ = watched.version_;
        else
            co_await sleep(outage_pause);
    }
}

auto configuration_keeper::watch_instances() -> http::awaitable<void>
{
    while (true) {
        const auto is_due = is_watcher() || shared_.list_.version_ == 0;
        if (is_due) {
            auto result =
                co_await shared_.platform_.instances(shared_.settings_.data_centre_, shared_.list_.version_);
            if (result.list_)
                take_list(std::move(*result.list_));
        }
        co_await sleep(list_poll);
    }
}

auto configuration_keeper::take_list(state::instance_list list) -> void
{
    if (list.version_ <= shared_.list_.version_)
        return;
    shared_.list_ = std::move(list);
    log_.info("The instance list is now of version " + std::to_string(shared_.list_.version_) + ".");
    spread_list();
}

auto configuration_keeper::learn(const rpc::updates& updates) -> void
{
    const auto before = shared_.replica_.current()->generation_;
    if (updates.snapshot_)
        shared_.replica_.offer_snapshot(*updates.snapshot_);
    for (const auto& change : updates.changes_)
        shared_.replica_.offer_change(change);
    auto has_news = shared_.replica_.current()->generation_ > before;
    if (updates.list_ && updates.list_->version_ > shared_.list_.version_) {
        shared_.list_ = *updates.list_;
        has_news = true;
    }
    if (has_news)
        poke_routers();
}

auto configuration_keeper::spread_change() -> void
{
    const auto current = shared_.replica_.current()->generation_;
    if (current == state::generation{})
        return;
    // Peers are one change behind as a rule; gossip mends what this misses.
    spread(news_for(
        {.generation_ = state::generation{current.value() - 1}, .list_version_ = shared_.list_.version_}));
}

auto configuration_keeper::spread_list() -> void
{
    spread(news_for({.generation_ = shared_.replica_.current()->generation_, .list_version_ = 0}));
}

auto configuration_keeper::spread(const rpc::updates& updates) -> void
{
    poke_routers();
    for (const auto& peer : shared_.peers())
        http::asio::co_spawn(shared_.context_, send_news(peer, updates), http::asio::detached);
}

auto configuration_keeper::send_news(state::network_address peer, rpc::updates updates)
    -> http::awaitable<void>
{
    try {
        co_await shared_.rpc_.call(peer, rpc::learn, rpc::to_json(updates), peer_limit);
    } catch (const http::client_error&) {
        // Gossip brings the news later.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_keeper::poke_routers() -> void
{
    for (const auto& [address, router] : shared_.routers_)
        http::asio::co_spawn(shared_.context_, poke(address), http::asio::detached);
}

auto configuration_keeper::poke(state::network_address router) -> http::awaitable<void>
{
    try {
        co_await shared_.rpc_.call(router, rpc::poke, Json::Value{Json::objectValue}, peer_limit);
    } catch (const http::client_error&) {
        // The router asks by itself twice a second.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_keeper::own_knowledge() const -> rpc::state_digest
{
    const auto current = shared_.replica_.current();
    return {.generation_ = current->generation_,
            .chain_ = current->chain_,
            .list_version_ = shared_.list_.version_};
}

auto configuration_keeper::news_for(const rpc::state_digest& known) const -> rpc::updates
{
    auto updates = rpc::updates{};
    const auto current = shared_.replica_.current();
    if (known.generation_ < current->generation_) {
        if (shared_.replica_.remembers_from(known.generation_))
            updates.changes_ = shared_.replica_.changes_after(known.generation_);
        else
            updates.snapshot_ = *current;
    }
    if (known.list_version_ < shared_.list_.version_)
        updates.list_ = shared_.list_;
    return updates;
}

auto configuration_keeper::answer_gossip(const rpc::gossip_request& request) -> rpc::gossip_response
{
    return {
        .digest_ = own_knowledge(), .is_confirmed_ = is_confirmed(), .updates_ = news_for(request.digest_)};
}

auto configuration_keeper::is_confirmed() -> bool
{
    const auto now = shared_.clock_.now();
    freshness_.observe(now);
    return shared_.replica_.is_known() && freshness_.is_vouching(now);
}

auto configuration_keeper::mark_heard(state::time_point asked_at) -> void
{
    freshness_.observe(shared_.clock_.now());
    freshness_.mark_heard(asked_at);
}

auto configuration_keeper::gossip() -> http::awaitable<void>
{
    while (true) {
        freshness_.observe(shared_.clock_.now());
        // Now and then a peer in another data centre is asked, which may still reach the platform.
        const auto is_far_turn = shared_.random_.next() % rounds_between_far_peers == 0;
        const auto peers = is_far_turn ? shared_.all_peers() : shared_.peers();
        if (!peers.empty())
            co_await gossip_with(peers[shared_.random_.next() % peers.size()]);
        const auto is_alone = !is_confirmed();
        co_await sleep(is_alone ? gossip_interval_alone : gossip_interval);
    }
}

auto configuration_keeper::gossip_with(state::network_address peer) -> http::awaitable<void>
{
    const auto request = rpc::gossip_request{.from_ = shared_.settings_.instance_,
                                             .incarnation_ = shared_.incarnation_,
                                             .digest_ = own_knowledge()};
    const auto asked_at = shared_.clock_.now();
    try {
        const auto result = co_await shared_.rpc_.call(peer, rpc::gossip, rpc::to_json(request), peer_limit);
        const auto response = rpc::read_gossip_response(result);
        learn(response.updates_);
        // A peer that is itself unsure cannot tell whether its configuration is the newest.
        if (response.is_confirmed_)
            mark_heard(asked_at);
        const auto own = own_knowledge();
        const auto is_peer_behind = response.digest_.generation_ < own.generation_ ||
                                    response.digest_.list_version_ < own.list_version_;
        if (is_peer_behind)
            co_await send_news(peer, news_for(response.digest_));
    } catch (const http::client_error&) {
        // Another peer is tried next time.
    } catch (const state::error& fault) {
        log_.warn(fault.what());
    }
}

auto configuration_keeper::write_snapshot_if_due() -> http::awaitable<void>
{
    const auto current = shared_.replica_.current();
    if (current->generation_.value() % changes_between_snapshots != 0)
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
    if (reader_of(value).number("generation") < current->generation_.value())
        co_await shared_.platform_.replace(names::snapshot_name, reading.object_->tag_, text);
}

auto configuration_keeper::is_watcher() const -> bool
{
    return coordination::placement::is_watcher(shared_.settings_.instance_, shared_.settings_.data_centre_,
                                               shared_.list_.members_, watchers_of_a_data_centre);
}

auto configuration_keeper::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{shared_.context_, time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

} // namespace buckthorndale::services::agent

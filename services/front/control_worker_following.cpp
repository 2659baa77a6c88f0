// Part of control_worker: follows the store, directly or through other instances.

#include <utility>

#include "front/control_worker.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"
#include "transport/http/query.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <json/value.h>

#include <algorithm>
#include <ranges>

namespace buckthorndale::services::front {

namespace http = transport::http;
using platform::store_error;
using platform::store_fault;

namespace {

/// A watch is paid as one call however long it waits. TCP keep-alive detects dead connections.
constexpr auto watch_timeout = state::duration{std::chrono::seconds{15}};
/// Interval at which a loop that must not read the store checks whether it may.
constexpr auto poll_interval = state::duration{std::chrono::milliseconds{50}};
/// The same once it is known which instances watch the store; each wake-up of hundreds of instances counts.
constexpr auto idle_interval = state::duration{std::chrono::milliseconds{250}};
/// Pause before a follower queries its watchers again after none confirmed that it reaches the store.
constexpr auto watcher_retry_interval = state::duration{std::chrono::milliseconds{100}};
/// How long an instance watches the store itself after no watcher answered.
constexpr auto own_watch_duration = state::duration{std::chrono::seconds{10}};
/// Pause between attempts to reach the store while no watcher reaches it.
constexpr auto store_retry_interval = state::duration{std::chrono::milliseconds{1200}};
/// An instance that cannot read the list of instances within this time continues without it.
constexpr auto instances_timeout = state::duration{std::chrono::milliseconds{1000}};
/// When the store is unreachable for longer than this, the instance reads from others.
constexpr auto outage_threshold = state::duration{std::chrono::milliseconds{600}};
constexpr auto peer_poll_interval = state::duration{std::chrono::milliseconds{400}};
/// Path at which an instance serves its objects, followed by their kind.
constexpr auto objects_path = std::string_view{"/objects/"};
constexpr auto listing_content_type = "application/octet-stream";
constexpr auto listing_status = 200U;
constexpr auto no_update_status = 204U;
constexpr auto unknown_kind_status = 404U;
/// Response header: whether the answering instance reaches the store.
constexpr auto freshness_header = "Hears-Store";
constexpr auto is_fresh_text = "1";
/// Response header: how long ago the store confirmed the objects, in microseconds. Older builds do not state
/// it.
constexpr auto age_header = "Confirmed-Ago-Us";
/// Limits the wait that another instance may ask for.
constexpr auto max_follower_wait = state::duration{std::chrono::seconds{10}};

} // namespace

auto control_worker::is_fresh() const -> bool
{
    return std::ranges::none_of(kinds(), [this](const followed_kind* kind) {
        return kind->is_lost_ || kind->mirror_.position().era_ != era_ ||
               !kind->currency_.is_current(clock_.boot_now());
    });
}

auto control_worker::learn_era(state::store_era era) -> void
{
    if (era <= era_)
        return;
    const auto before = std::exchange(era_, era);
    const auto is_restored = before != state::store_era{};
    if (is_restored)
        log_.warn("store restored from a copy era=" + std::to_string(era.value()) +
                  " before=" + std::to_string(before.value()));
    for (auto* kind : kinds()) {
        const auto position = kind->mirror_.position();
        if (position.revision_ == 0 || position.era_ == era)
            continue;
        mark_lost(*kind, "the store was restored from a copy");
        mark_store_away(*kind);
        kind->watch_end_->emit(http::asio::cancellation_type::terminal);
    }
    if (!is_restored)
        return;
    has_seen_restore_ = true;
    directory_.mark_store_restored(clock_.now());
    fallback_.store_restored(clock_.now());
    restores_.notify_all();
}

auto control_worker::follow_store(followed_kind& kind) -> http::awaitable<void>
{
    const auto started_at = clock_.now();
    auto pacing = coordination::membership::store_read_pacing{};
    while (true) {
        const auto may_begin = are_instances_known_ || clock_.now() - started_at > instances_timeout;
        // While the store is unreachable, only the configuration is retried, to save calls.
        const auto waits_for_other =
            &kind != &configuration_ && configuration_.is_lost_ && !configuration_.is_partly_read_;
        if (!may_begin || !watches(kind) || waits_for_other) {
            co_await sleep(may_begin && !watches(kind) ? idle_interval : poll_interval);
            continue;
        }
        auto has_failed = false;
        try {
            co_await follow_store_until_fault(kind);
        } catch (const store_error& caught) {
            has_failed = true;
            if (caught.fault() != store_fault::history_gone) {
                mark_lost(kind, caught.what());
                mark_store_away(kind);
            }
        } catch (const state::error& caught) {
            has_failed = true;
            mark_lost(kind, caught.what());
        } catch (const Json::Exception& caught) {
            // Whatever the store holds, this loop goes on.
            has_failed = true;
            mark_lost(kind, caught.what());
        }
        if (has_failed)
            co_await sleep(pacing.pause(clock_.now(), draw()));
    }
}

auto control_worker::follow_watchers(followed_kind& kind) -> http::awaitable<void>
{
    while (true) {
        // While no watcher confirms that it reaches the store, only the list of endpoints is requested.
        const auto waits_for_other = &kind != &endpoints_ && endpoints_.is_lost_;
        if (!watches(kind) && !waits_for_other) {
            for (const auto& watcher : watchers_.sources())
                co_await follow_watcher_until_fault(kind, watcher);
        }
        if (!watches(kind) && !waits_for_other && fallback_.may_ask_store(clock_.now()))
            co_await try_watching_store();
        else
            co_await sleep(watches(kind) ? idle_interval : watcher_retry_interval);
    }
}

auto control_worker::follow_watcher_until_fault(followed_kind& kind, const state::network_address& watcher)
    -> http::awaitable<void>
{
    const auto log_fields = "address=" + watcher.text() + " kind=" + kind.mirror_.kind();
    try {
        co_await follow_watcher(kind, watcher);
    } catch (const http::client_error& fault) {
        log_.info("watcher lost " + log_fields + " reason=\"" + fault.what() + "\"");
    } catch (const store_error& fault) {
        log_.warn("watcher sent an invalid answer " + log_fields + " reason=\"" + fault.what() + "\"");
    } catch (const state::error& fault) {
        log_.warn("watcher sent an invalid answer " + log_fields + " reason=\"" + fault.what() + "\"");
    }
}

auto control_worker::follow_watcher(followed_kind& kind, const state::network_address& watcher)
    -> http::awaitable<void>
{
    // The first request does not wait for updates, so that an unresponsive watcher is detected soon.
    auto wait_timeout = state::duration{0};
    while (!watches(kind)) {
        kind.watcher_ = watcher;
        const auto is_confirmed = co_await fetch_from_peer(
            kind, watcher, std::exchange(wait_timeout, kind.currency_.limits().follower_wait()));
        if (!is_confirmed)
            co_return;
        fallback_.watcher_confirmed(clock_.now());
        mark_regained(kind);
    }
}

auto control_worker::try_watching_store() -> http::awaitable<void>
{
    auto is_reachable = false;
    try {
        co_await store_.list(platform::kind::instances, platform::read_consistency::may_be_stale);
        is_reachable = true;
    } catch (const store_error& fault) {
        for (auto* kind : kinds()) {
            mark_lost(*kind, fault.what());
            mark_store_away(*kind);
        }
    }
    // The answer may be the first that states a newer era; then the watchers are about to read the store too.
    if (is_reachable && !fallback_.may_ask_store(clock_.now()))
        co_return;
    if (is_reachable) {
        log_.info("no watcher reaches the store; watching it directly for a while");
        watches_until_ = clock_.now() + own_watch_duration;
        co_return;
    }
    co_await sleep(store_retry_interval);
}

auto control_worker::follow_store_until_fault(followed_kind& kind) -> http::awaitable<void>
{
    auto& mirror = kind.mirror_;
    const auto asked_at = clock_.boot_now();
    kind.is_partly_read_ = false;
    const auto listing = co_await store_.list(mirror.kind(), platform::read_consistency::latest);
    log_unreadable(kind, listing.unreadable_);
    if (listing.fault_) {
        keep_partial_listing(kind, listing);
        throw store_error{*listing.fault_};
    }
    if (listing.position_.era_ < era_ || !mirror.replace(listing))
        throw store_error{store_fault::no_response, "the store's listing is older than the known position"};
    record_confirmation(kind, asked_at, listing.position_);
    mark_regained(kind);
    apply_changes(kind);
    while (watches(kind)) {
        const auto changes = co_await watch_until_restore(kind);
        log_unreadable(kind, changes.unreadable_);
        // The era may also be learned from another answer while changes are applied.
        if (!mirror.apply(changes) || kind.is_lost_)
            throw store_error{store_fault::history_gone, "the objects must be read anew"};
        if (changes.changes_.empty())
            continue;
        apply_changes(kind);
        co_await sleep(kind.currency_.limits().batching_delay());
        if (kind.is_lost_)
            throw store_error{store_fault::history_gone, "the objects must be read anew"};
    }
}

auto control_worker::keep_partial_listing(followed_kind& kind, const platform::object_listing& listing)
    -> void
{
    log_.warn("list not read to its end kind=" + kind.mirror_.kind() + " objects=" +
              std::to_string(listing.objects_.size()) + " reason=\"" + listing.fault_->what() + "\"");
    kind.is_partly_read_ = true;
    if (listing.position_.era_ >= era_ && kind.mirror_.merge(listing))
        apply_changes(kind);
}

auto control_worker::watch_until_restore(followed_kind& kind) -> http::awaitable<platform::object_changes>
{
    auto watch = store_.watch(kind.mirror_.kind(), kind.mirror_.position(), watch_timeout);
    try {
        co_return co_await http::asio::co_spawn(
            worker_.context(), std::move(watch),
            http::asio::bind_cancellation_slot(kind.watch_end_->slot(), http::asio::use_awaitable));
    } catch (const boost::system::system_error& fault) {
        // The watch was ended between two of its operations.
        throw store_error{store_fault::history_gone, fault.what()};
    } catch (const store_error& fault) {
        // The watch was ended within one, which says nothing about the store.
        if (kind.is_lost_)
            throw store_error{store_fault::history_gone, fault.what()};
        throw;
    }
}

auto control_worker::log_unreadable(const followed_kind& kind,
                                    const std::vector<protocol::json::unreadable_part>& parts) -> void
{
    constexpr auto max_logged = std::size_t{8};
    for (const auto& part : parts | std::views::take(max_logged))
        log_.warn("unreadable part of an answer skipped kind=" + kind.mirror_.kind() + " part=" +
                  transport::logging::field_text(part.path_) + " of=" + std::to_string(parts.size()) +
                  " reason=\"" + transport::logging::quoted_text(part.reason_) + "\"");
}

auto control_worker::mark_regained(followed_kind& kind) -> void
{
    if (!std::exchange(kind.is_lost_, false))
        return;
    log_.info("store regained kind=" + kind.mirror_.kind() + " " + text_of(kind.mirror_.position()));
    if (&kind == &endpoints_) {
        directory_.mark_store_available(clock_.now());
        schedule_endpoint_expiry();
    }
    if (&kind == &configuration_)
        post_to_decision(freshness_changed{true});
}

auto control_worker::mark_lost(followed_kind& kind, const std::string& reason) -> void
{
    if (std::exchange(kind.is_lost_, true))
        return;
    kind.lost_since_ = clock_.now();
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(kind.currency_.age(clock_.boot_now()));
    log_.warn("store lost kind=" + kind.mirror_.kind() + " " + text_of(kind.mirror_.position()) +
              " confirmed_ms_ago=" + std::to_string(age.count()) + " reason=\"" + reason + "\"");
    if (&kind == &configuration_)
        post_to_decision(freshness_changed{false});
    updates_.notify_all();
}

auto control_worker::mark_store_away(const followed_kind& kind) -> void
{
    if (&kind == &endpoints_)
        directory_.mark_store_unavailable(clock_.now());
}

auto control_worker::apply_changes(followed_kind& kind) -> void
{
    kind.on_change_();
    updates_.notify_all();
}

auto control_worker::poll_peers_in_outage() -> http::awaitable<void>
{
    while (true) {
        co_await sleep(peer_poll_interval);
        const auto now = clock_.now();
        const auto is_in_outage = std::ranges::any_of(kinds(), [&](const followed_kind* kind) {
            return kind->is_lost_ && now - kind->lost_since_ > outage_threshold;
        });
        const auto peer = is_in_outage ? peers_.random_peer(random_.next()) : std::nullopt;
        if (!peer)
            continue;
        try {
            for (auto* kind : kinds())
                co_await fetch_from_peer(*kind, *peer, {});
        } catch (const http::client_error& fault) {
            log_.info("instance not reachable address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        } catch (const store_error& fault) {
            log_.warn("instance sent an invalid answer address=" + peer->text() + " reason=\"" +
                      fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn("instance sent an invalid answer address=" + peer->text() + " reason=\"" +
                      fault.what() + "\"");
        }
    }
}

auto control_worker::fetch_from_peer(followed_kind& kind, const state::network_address& peer,
                                     state::duration wait_timeout) -> http::awaitable<bool>
{
    auto& mirror = kind.mirror_;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(wait_timeout).count();
    const auto target =
        std::string{objects_path} + mirror.kind() + "?since=" + std::to_string(mirror.position().revision_) +
        "&era=" + std::to_string(mirror.position().era_.value()) + "&wait_ms=" + std::to_string(wait);
    auto message = http::request{http::beast::http::verb::get, target, 11};
    const auto asked_at = clock_.boot_now();
    const auto answer = co_await client_.fetch(
        peer, std::move(message), {.first_byte_ = wait_timeout + kind.currency_.limits().follower_margin()});
    // Instances of older builds state no era: once one is known, they confirm nothing.
    const auto peer_era = platform::read_store_era(answer);
    learn_era(peer_era);
    // Instances of older builds do not know each kind. Then this one reads it from the store.
    if (answer.result_int() == unknown_kind_status)
        kind.watched_until_ = clock_.now() + own_watch_duration;
    if (answer.result_int() == listing_status) {
        const auto listing = platform::decompress_listing(answer.body());
        log_unreadable(kind, listing.unreadable_);
        const auto is_newer = listing.position_.era_ >= era_ && listing.position_ > mirror.position();
        if (is_newer && mirror.replace(listing)) {
            log_.debug("objects taken from instance address=" + peer.text() + " kind=" + mirror.kind() + " " +
                       text_of(listing.position_));
            apply_changes(kind);
        }
    }
    const auto is_same_era = peer_era == era_ && mirror.position().era_ == era_;
    const auto is_confirmed = is_same_era && answer[freshness_header] == is_fresh_text;
    if (is_confirmed) {
        const auto age = state::number_from_text<state::duration::rep>(answer[age_header]).value_or(0);
        record_confirmation(kind, asked_at - state::duration{std::max<state::duration::rep>(age, 0)},
                            mirror.position());
    }
    co_return is_confirmed;
}

auto control_worker::serve_peer(http::exchange& exchange) -> http::awaitable<void>
{
    const auto target = http::split_target(exchange.message().target());
    auto* kind = target.path_.starts_with(objects_path)
                     ? find_kind(std::string_view{target.path_}.substr(objects_path.size()))
                     : nullptr;
    if (kind == nullptr) {
        co_await exchange.send(http::make_response(unknown_kind_status, listing_content_type, ""));
        co_return;
    }
    const auto since =
        state::store_position{.era_ = state::store_era{http::query_number(target.query_, "era", 0)},
                              .revision_ = http::query_number(target.query_, "since", 0)};
    // An instance of an older build states no era and compares revisions alone.
    const auto is_older_build = http::query_text(target.query_, "era").empty();
    learn_era(since.era_);
    const auto wait = std::chrono::milliseconds{http::query_number(target.query_, "wait_ms", 0)};
    const auto deadline = clock_.now() + std::min<state::duration>(wait, max_follower_wait);
    const auto is_confirmed = [&] {
        // Its revision may be one of an earlier era, where it had another meaning.
        const auto may_be_outdated =
            is_older_build && (has_seen_restore_ || since.revision_ > kind->mirror_.position().revision_);
        return is_fresh() && !may_be_outdated;
    };
    const auto has_updates = [&] {
        const auto changed_at = kind->mirror_.changed_at();
        return is_older_build ? changed_at.revision_ > since.revision_ : changed_at > since;
    };
    while (!has_updates() && is_confirmed() && clock_.now() < deadline)
        co_await updates_.wait(deadline - clock_.now());
    auto answer = has_updates() ? http::make_response(listing_status, listing_content_type,
                                                      kind->mirror_.compressed_listing())
                                : http::make_response(no_update_status, listing_content_type, "");
    answer.set(freshness_header, is_confirmed() ? is_fresh_text : "0");
    answer.set(age_header, std::to_string(kind->currency_.age(clock_.boot_now()).count()));
    answer.set(platform::header::store_era, std::to_string(era_.value()));
    co_await exchange.send(std::move(answer));
}

} // namespace buckthorndale::services::front

// Part of control_worker: checks that what this instance knows of the store is current.

#include <utility>

#include "front/control_worker.hpp"

#include <algorithm>

namespace buckthorndale::services::front {

namespace http = transport::http;
namespace membership = coordination::membership;
using platform::store_error;
using platform::store_fault;

namespace {

/// Interval at which a kind that must not be checked is looked at again, by an instance that watches the
/// store and by another one.
constexpr auto retry_interval = state::duration{std::chrono::milliseconds{100}};
constexpr auto idle_interval = state::duration{std::chrono::milliseconds{250}};
/// A change that a check finds may just be under way to this instance by its watch, which is sent a while
/// after the change before.
constexpr auto catch_up_margin = state::duration{std::chrono::milliseconds{50}};
constexpr auto expiry_interval = state::duration{std::chrono::milliseconds{100}};
/// A longer time between two runs of expire_kinds() means that this process was paused, and that datagrams
/// may be old.
constexpr auto max_pause = 3 * expiry_interval;

} // namespace

auto control_worker::check_currency(followed_kind& kind) -> http::awaitable<void>
{
    while (true) {
        if (!watches(kind) || kind.is_lost_) {
            co_await sleep(watches(kind) ? retry_interval : idle_interval);
            continue;
        }
        const auto hinted = std::exchange(kind.hinted_, {});
        if (hinted > kind.mirror_.position()) {
            co_await sleep(kind.currency_.limits().batching_delay() + catch_up_margin);
            if (kind.mirror_.position() < hinted)
                co_await check_now(kind);
            continue;
        }
        const auto due = kind.currency_.check_due() - clock_.boot_now();
        if (due > state::duration::zero())
            co_await kind.check_wake_->wait(due);
        else
            co_await check_now(kind);
    }
}

auto control_worker::check_now(followed_kind& kind) -> http::awaitable<void>
{
    const auto asked_at = clock_.boot_now();
    const auto lost_before = kind.lost_since_;
    auto changes = platform::object_changes{};
    auto reason = std::string{};
    auto is_store_away = false;
    try {
        changes = co_await store_.changes_since(kind.mirror_.kind(), kind.currency_.checked(),
                                                kind.currency_.limits().check_timeout());
    } catch (const store_error& fault) {
        reason = fault.what();
        // After a pause of this process the answer may be there, unread.
        const auto was_paused =
            clock_.boot_now() - asked_at > kind.currency_.limits().check_timeout() + max_pause;
        is_store_away = fault.fault() != store_fault::history_gone && !was_paused;
    }
    // Meanwhile the objects may have been lost for another reason, and read anew.
    if (kind.is_lost_ || kind.lost_since_ != lost_before)
        co_return;
    if (reason.empty() && !kind.mirror_.includes(changes))
        co_await sleep(kind.currency_.limits().batching_delay() + catch_up_margin);
    if (reason.empty() && !kind.mirror_.includes(changes))
        reason = "the watch did not bring a change";
    if (kind.is_lost_ || kind.lost_since_ != lost_before)
        co_return;
    if (!reason.empty()) {
        read_again(kind, reason);
        if (is_store_away)
            mark_store_away(kind);
        co_return;
    }
    record_confirmation(kind, asked_at, changes.position_);
    announce_confirmation(kind, asked_at);
}

auto control_worker::expire_kinds() -> http::awaitable<void>
{
    while (true) {
        co_await sleep(expiry_interval);
        awake_at_ = clock_.boot_now();
        for (auto* kind : kinds()) {
            if (!kind->is_lost_ && !kind->currency_.is_current(awake_at_))
                read_again(*kind, "the store has not confirmed it in time");
        }
    }
}

auto control_worker::read_again(followed_kind& kind, const std::string& reason) -> void
{
    mark_lost(kind, reason);
    kind.watch_end_->emit(http::asio::cancellation_type::terminal);
}

auto control_worker::announce_confirmation(followed_kind& kind, state::time_point asked_at) -> void
{
    auto message = protocol::peer::peer_message{.from_ = settings_.instance_};
    message.confirmations_.push_back({.kind_ = kind.mirror_.kind(),
                                      .confirmation_ = {.position_ = kind.currency_.checked(),
                                                        .fingerprint_ = kind.mirror_.fingerprint(),
                                                        .age_ = clock_.boot_now() - asked_at}});
    peers_.send(watchers_.other_watchers(), message);
}

auto control_worker::hear_confirmations(const protocol::peer::peer_message& message) -> void
{
    const auto now = clock_.boot_now();
    if (now - awake_at_ > max_pause)
        return;
    for (const auto& item : message.confirmations_) {
        auto* kind = find_kind(item.kind_);
        if (kind == nullptr || kind->is_lost_ || !watches(*kind))
            continue;
        const auto own = membership::copy_state{.position_ = kind->mirror_.position(),
                                                .fingerprint_ = kind->mirror_.fingerprint()};
        const auto effect = kind->currency_.hear(item.confirmation_, own, now, draw());
        if (effect == membership::confirmation_effect::confirmed)
            publish_confirmation(*kind);
        if (effect == membership::confirmation_effect::behind) {
            kind->hinted_ = std::max(kind->hinted_, item.confirmation_.position_);
            kind->check_wake_->notify_all();
        }
    }
}

auto control_worker::record_confirmation(followed_kind& kind, state::time_point asked_at,
                                         state::store_position position) -> void
{
    kind.currency_.confirm(asked_at, position, draw());
    publish_confirmation(kind);
}

auto control_worker::publish_confirmation(const followed_kind& kind) -> void
{
    const auto now = clock_.boot_now();
    gauge_.publish(kind.kind_, now - kind.currency_.age(now));
}

} // namespace buckthorndale::services::front

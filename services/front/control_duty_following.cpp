// How the control duty follows the store, directly or through other instances.

#include <utility>

#include "front/control_duty.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "state/error.hpp"
#include "transport/http/query.hpp"

#include <algorithm>

namespace buckthorndale::services::front {

namespace http = transport::http;
using platform::store_error;
using platform::store_fault;

namespace {

/// A waiting watch counts as one call, so it waits long; keep-alive probes find a connection that went
/// silent.
constexpr auto watch_patience = state::duration{std::chrono::seconds{15}};
/// Changes that come close together are fetched together.
constexpr auto pause_after_changes = state::duration{std::chrono::milliseconds{100}};
constexpr auto shortest_retry = state::duration{std::chrono::milliseconds{150}};
/// Each call is paid, those that are refused too; changes must be in force within two seconds of the store's
/// return.
constexpr auto longest_retry = state::duration{std::chrono::milliseconds{700}};
constexpr auto retry_spread = std::uint64_t{150'000};
/// How often a loop looks whether it is its turn.
constexpr auto turn_step = state::duration{std::chrono::milliseconds{50}};
/// How long an instance waits at a watcher for news. A watcher that is silent longer is given up.
constexpr auto watcher_patience = state::duration{std::chrono::seconds{1}};
constexpr auto watcher_slack = state::duration{std::chrono::milliseconds{600}};
/// Pause before a follower asks its watchers again after none of them vouched.
constexpr auto watcher_retry = state::duration{std::chrono::milliseconds{100}};
/// A watch waits for long, so a watcher with followers asks besides whether the store still answers. Together
/// with the way to the followers this stays under the two seconds in which a change must be in force.
constexpr auto vouch_interval = state::duration{std::chrono::milliseconds{500}};
constexpr auto vouch_patience = state::duration{std::chrono::milliseconds{400}};
/// How long an instance without a watcher watches the store itself.
constexpr auto own_watch_time = state::duration{std::chrono::seconds{10}};
/// Pause between tries of a store that no watcher hears.
constexpr auto store_try_interval = state::duration{std::chrono::milliseconds{1200}};
/// How often the other instances are looked up; sooner at the start, while others register.
constexpr auto instances_interval = state::duration{std::chrono::seconds{10}};
constexpr auto first_instances_interval = state::duration{std::chrono::seconds{2}};
/// All instances of a deployment start within 0.3 s of each other.
constexpr auto registration_time = state::duration{std::chrono::milliseconds{500}};
/// An instance that cannot read the list of instances by then goes on without it.
constexpr auto longest_wait_for_instances = state::duration{std::chrono::milliseconds{1000}};
/// A store that is away longer than this makes the instance ask others.
constexpr auto outage_patience = state::duration{std::chrono::milliseconds{600}};
constexpr auto ask_interval = state::duration{std::chrono::milliseconds{400}};
/// Where an instance gives out what it knows, by kind of object.
constexpr auto objects_path = std::string_view{"/objects/"};
constexpr auto packed_type = "application/octet-stream";
constexpr auto listing_status = 200U;
constexpr auto no_news_status = 204U;
constexpr auto unknown_kind_status = 404U;
/// Whether the instance that answers hears the store.
constexpr auto freshness_header = "Hears-Store";
constexpr auto is_fresh_text = "1";

auto instances_from(const platform::object_listing& listing)
    -> std::vector<coordination::membership::listed_instance>
{
    auto instances = std::vector<coordination::membership::listed_instance>{};
    for (const auto& object : listing.objects_) {
        const auto& spec = object["spec"];
        if (!spec["control"].isString() || !spec["data_centre"].isString())
            continue;
        instances.push_back({.id_ = state::instance_id{platform::read_metadata(object).name_},
                             .data_centre_ = state::data_centre_id{spec["data_centre"].asString()},
                             .control_ = state::network_address_from_text(spec["control"].asString()),
                             .link_mbps_ = spec["link_mbps"].isInt64() ? spec["link_mbps"].asInt64() : 0});
    }
    return instances;
}

} // namespace

auto control_duty::is_fresh() const -> bool
{
    return std::ranges::none_of(kinds(), [](const followed_kind* kind) { return kind->is_lost_; });
}

auto control_duty::vouch_for_store() -> http::awaitable<void>
{
    while (true) {
        co_await sleep(vouch_interval);
        // An instance that nobody follows need not know: its own rules excuse what it cannot hear.
        if (!watchers_.is_watcher() || watchers_.followers().empty() || !is_fresh()) {
            hears_store_ = true;
            continue;
        }
        auto reason = std::string{};
        try {
            co_await store_.ping(platform::kind::instances, settings_.instance_.text(), vouch_patience);
        } catch (const store_error& fault) {
            reason = fault.what();
        }
        const auto hears = reason.empty();
        if (std::exchange(hears_store_, hears) == hears)
            continue;
        log_.info(hears ? std::string{"vouches for the store again"}
                        : "does not vouch for the store reason=\"" + reason + "\"");
        news_.notify_all();
    }
}

auto control_duty::follow(followed_kind& kind) -> http::awaitable<void>
{
    const auto began = clock_.now();
    auto retry = shortest_retry;
    while (true) {
        const auto may_begin = are_instances_known_ || clock_.now() - began > longest_wait_for_instances;
        // While the store is away, one kind asks for all.
        const auto waits_for_other = &kind != &configuration_ && configuration_.is_lost_;
        if (!may_begin || !watches_store() || waits_for_other) {
            co_await sleep(turn_step);
            continue;
        }
        auto fault = std::optional<store_fault>{};
        try {
            co_await follow_until_fault(kind);
        } catch (const store_error& caught) {
            fault = caught.fault();
            if (fault != store_fault::history_gone)
                mark_lost(kind, caught.what());
        }
        if (!fault || fault == store_fault::history_gone)
            continue;
        // What went on for a while before it failed is tried again soon.
        retry = clock_.now() - kind.lost_since_ < longest_retry ? shortest_retry
                                                                : std::min(retry * 2, longest_retry);
        co_await sleep(retry + state::duration{static_cast<std::int64_t>(random_.next() % retry_spread)});
    }
}

auto control_duty::follow_watchers(followed_kind& kind) -> http::awaitable<void>
{
    while (true) {
        // While no watcher vouches, one kind asks for all.
        const auto waits_for_other = &kind != &endpoints_ && endpoints_.is_lost_;
        if (!watches_store() && !waits_for_other) {
            for (const auto& watcher : watchers_.sources())
                co_await follow_watcher_until_fault(kind, watcher);
        }
        if (!watches_store() && !waits_for_other && search_.may_ask_store(clock_.now()))
            co_await try_store();
        else
            co_await sleep(watcher_retry);
    }
}

auto control_duty::follow_watcher_until_fault(followed_kind& kind, const state::network_address& watcher)
    -> http::awaitable<void>
{
    const auto place = "address=" + watcher.text() + " kind=" + kind.mirror_.kind();
    try {
        co_await follow_watcher(kind, watcher);
    } catch (const http::client_error& fault) {
        log_.info("watcher lost " + place + " reason=\"" + fault.what() + "\"");
    } catch (const store_error& fault) {
        log_.warn("watcher not understood " + place + " reason=\"" + fault.what() + "\"");
    } catch (const state::error& fault) {
        log_.warn("watcher not understood " + place + " reason=\"" + fault.what() + "\"");
    }
}

auto control_duty::follow_watcher(followed_kind& kind, const state::network_address& watcher)
    -> http::awaitable<void>
{
    // The first question is answered at once, so that a silent watcher is found out soon.
    auto patience = state::duration{0};
    while (!watches_store()) {
        kind.watcher_ = watcher;
        const auto vouches = co_await read_peer(kind, watcher, std::exchange(patience, watcher_patience));
        if (!vouches)
            co_return;
        search_.watcher_vouched(clock_.now());
        mark_regained(kind);
    }
}

auto control_duty::try_store() -> http::awaitable<void>
{
    auto is_there = false;
    try {
        co_await store_.list(platform::kind::instances, platform::listing_age::may_be_old);
        is_there = true;
    } catch (const store_error& fault) {
        for (auto* kind : kinds())
            mark_lost(*kind, fault.what());
    }
    if (is_there) {
        log_.info("no watcher hears the store; this instance watches it itself for a while");
        watches_until_ = clock_.now() + own_watch_time;
        co_return;
    }
    co_await sleep(store_try_interval);
}

auto control_duty::follow_until_fault(followed_kind& kind) -> http::awaitable<void>
{
    auto& mirror = kind.mirror_;
    const auto listing = co_await store_.list(mirror.kind(), platform::listing_age::newest);
    mark_regained(kind);
    if (!mirror.replace(listing))
        throw store_error{store_fault::unanswered, "the store's list is older than what is known"};
    take_over(kind);
    while (watches_store()) {
        const auto changes = co_await store_.watch(mirror.kind(), mirror.revision(), watch_patience);
        mirror.apply(changes);
        if (changes.changes_.empty())
            continue;
        take_over(kind);
        co_await sleep(pause_after_changes);
    }
}

auto control_duty::mark_regained(followed_kind& kind) -> void
{
    if (!std::exchange(kind.is_lost_, false))
        return;
    log_.info("store regained kind=" + kind.mirror_.kind() +
              " revision=" + std::to_string(kind.mirror_.revision()));
    if (&kind == &endpoints_)
        directory_.regain(clock_.now());
    if (&kind == &configuration_)
        tell_decision(freshness_changed{true});
}

auto control_duty::mark_lost(followed_kind& kind, const std::string& reason) -> void
{
    if (std::exchange(kind.is_lost_, true))
        return;
    kind.lost_since_ = clock_.now();
    log_.warn("store lost kind=" + kind.mirror_.kind() +
              " revision=" + std::to_string(kind.mirror_.revision()) + " reason=\"" + reason + "\"");
    if (&kind == &endpoints_)
        directory_.lose();
    if (&kind == &configuration_)
        tell_decision(freshness_changed{false});
    news_.notify_all();
}

auto control_duty::take_over(followed_kind& kind) -> void
{
    kind.on_change_();
    news_.notify_all();
}

auto control_duty::register_instance() -> http::awaitable<void>
{
    auto spec = Json::Value{Json::objectValue};
    spec["control"] = settings_.control_.text();
    spec["data_centre"] = settings_.data_centre_.text();
    spec["link_mbps"] = Json::Int64{settings_.link_mbps_};
    auto is_known = false;
    try {
        co_await store_.create(platform::kind::instances, settings_.instance_.text(), spec);
    } catch (const store_error& fault) {
        if (fault.fault() != store_fault::conflict)
            throw;
        is_known = true;
    }
    // An instance that starts again under its name may have another address.
    if (!is_known)
        co_await sleep(registration_time);
    else
        co_await store_.replace(platform::kind::instances, settings_.instance_.text(), spec);
}

auto control_duty::follow_instances() -> http::awaitable<void>
{
    auto is_registered = false;
    auto is_first = true;
    while (true) {
        try {
            if (!is_registered)
                co_await register_instance();
            is_registered = true;
            const auto listing =
                co_await store_.list(platform::kind::instances, platform::listing_age::may_be_old);
            watchers_.update(instances_from(listing));
            peers_.set_peers(watchers_.others());
            are_instances_known_ = true;
        } catch (const store_error& fault) {
            log_.warn(std::string{"instances not read reason=\""} + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn(std::string{"instances not understood reason=\""} + fault.what() + "\"");
        }
        co_await sleep(std::exchange(is_first, false) ? first_instances_interval : instances_interval);
    }
}

auto control_duty::ask_peers_in_outage() -> http::awaitable<void>
{
    while (true) {
        co_await sleep(ask_interval);
        const auto now = clock_.now();
        const auto is_in_outage = std::ranges::any_of(kinds(), [&](const followed_kind* kind) {
            return kind->is_lost_ && now - kind->lost_since_ > outage_patience;
        });
        const auto peer = is_in_outage ? peers_.any(random_.next()) : std::nullopt;
        if (!peer)
            continue;
        try {
            for (auto* kind : kinds())
                co_await read_peer(*kind, *peer, {});
        } catch (const http::client_error& fault) {
            log_.info("instance not reached address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        } catch (const store_error& fault) {
            log_.warn("instance not understood address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn("instance not understood address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        }
    }
}

auto control_duty::read_peer(followed_kind& kind, const state::network_address& peer,
                             state::duration patience) -> http::awaitable<bool>
{
    auto& mirror = kind.mirror_;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(patience).count();
    const auto target = std::string{objects_path} + mirror.kind() +
                        "?since=" + std::to_string(mirror.revision()) + "&wait_ms=" + std::to_string(wait);
    auto message = http::request{http::beast::http::verb::get, target, 11};
    const auto answer =
        co_await client_.fetch(peer, std::move(message), {.first_byte_ = patience + watcher_slack});
    if (answer.result_int() == listing_status) {
        const auto listing = unpacked_listing(answer.body());
        if (listing.revision_ > mirror.revision() && mirror.replace(listing)) {
            log_.debug("objects taken from instance address=" + peer.text() + " kind=" + mirror.kind() +
                       " revision=" + std::to_string(listing.revision_));
            take_over(kind);
        }
    }
    co_return answer[freshness_header] == is_fresh_text;
}

auto control_duty::serve_peer(http::exchange& exchange) -> http::awaitable<void>
{
    const auto target = http::split_target(exchange.message().target());
    auto* kind = target.path_.starts_with(objects_path)
                     ? find_kind(std::string_view{target.path_}.substr(objects_path.size()))
                     : nullptr;
    if (kind == nullptr) {
        co_await exchange.send(http::make_response(unknown_kind_status, packed_type, ""));
        co_return;
    }
    const auto since = http::query_number(target.query_, "since", 0);
    const auto wait = std::chrono::milliseconds{http::query_number(target.query_, "wait_ms", 0)};
    const auto until = clock_.now() + std::min<state::duration>(wait, watcher_patience);
    const auto vouches = [this] { return is_fresh() && hears_store_; };
    const auto has_news = [&] { return kind->mirror_.changed_at() > since; };
    while (!has_news() && vouches() && clock_.now() < until)
        co_await news_.wait(until - clock_.now());
    auto answer = has_news() ? http::make_response(listing_status, packed_type, kind->mirror_.packed())
                             : http::make_response(no_news_status, packed_type, "");
    answer.set(freshness_header, vouches() ? is_fresh_text : "0");
    co_await exchange.send(std::move(answer));
}

} // namespace buckthorndale::services::front

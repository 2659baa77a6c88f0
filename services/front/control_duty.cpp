#include <utility>

#include "front/control_duty.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "state/stable_hash.hpp"
#include "transport/http/query.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

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
constexpr auto retry_spread = std::uint64_t{200'000};
/// How often the other instances are looked up.
constexpr auto instances_interval = state::duration{std::chrono::seconds{10}};
/// A store that is away longer than this makes the instance ask others.
constexpr auto outage_patience = state::duration{std::chrono::milliseconds{600}};
constexpr auto ask_interval = state::duration{std::chrono::milliseconds{400}};
/// Instances that see the same step to record take turns by this much.
constexpr auto turn = state::duration{std::chrono::milliseconds{150}};
constexpr auto most_turns = std::uint64_t{5};

constexpr auto json_type = "application/json";

} // namespace

control_duty::control_duty(const front_settings& settings)
    : settings_{settings}, client_{duty_.context()}, store_{client_, settings.store_},
      control_server_{duty_.context(), http::server_settings{.address_ = settings.control_},
                      [this](http::exchange& exchange) { return serve_peer(exchange); }},
      peers_{duty_.context(), settings,
             [this](protocol::peer::peer_message message) { tell_decision(peer_heard{std::move(message)}); }},
      configuration_{.mirror_ = object_mirror{std::string{platform::kind::configuration}},
                     .on_change_ = [this] { take_configuration(); }},
      endpoints_{.mirror_ = object_mirror{std::string{platform::kind::endpoints}},
                 .on_change_ = [this] { take_endpoints(); }},
      roll_outs_{.mirror_ = object_mirror{std::string{platform::kind::roll_outs}},
                 .on_change_ = [this] { take_roll_outs(); }},
      directory_timer_{duty_.context()},
      from_decision_{ring_size, duty_.context(), [this](control_action& action) { take(action); }}
{}

auto control_duty::connect(transport::ring::bounded_ring<control_event>& decision, limits_callback on_limits)
    -> void
{
    decision_ = &decision;
    on_limits_ = std::move(on_limits);
}

auto control_duty::start() -> void
{
    control_server_.start();
    peers_.start();
    for (auto* kind : kinds()) {
        kind->lost_since_ = clock_.now();
        http::asio::co_spawn(duty_.context(), follow(*kind), http::asio::detached);
    }
    http::asio::co_spawn(duty_.context(), follow_instances(), http::asio::detached);
    http::asio::co_spawn(duty_.context(), ask_peers_in_outage(), http::asio::detached);
    duty_.start();
}

auto control_duty::stop() -> void
{
    duty_.stop();
}

auto control_duty::begin_stop() -> void
{
    http::asio::post(duty_.context(), [this] { tell_decision(stop_wanted{}); });
}

auto control_duty::kinds() -> std::vector<followed_kind*>
{
    return {&configuration_, &endpoints_, &roll_outs_};
}

auto control_duty::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{duty_.context(), time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

auto control_duty::follow(followed_kind& kind) -> http::awaitable<void>
{
    while (true) {
        auto fault = std::optional<store_fault>{};
        try {
            co_await follow_until_fault(kind);
        } catch (const store_error& caught) {
            fault = caught.fault();
            if (fault != store_fault::history_gone)
                mark_lost(kind, caught.what());
        }
        if (fault != store_fault::history_gone)
            co_await sleep(shortest_retry +
                           state::duration{static_cast<std::int64_t>(random_.next() % retry_spread)});
    }
}

auto control_duty::follow_until_fault(followed_kind& kind) -> http::awaitable<void>
{
    auto& mirror = kind.mirror_;
    const auto listing = co_await store_.list(mirror.kind(), platform::listing_age::newest);
    mark_regained(kind);
    if (!mirror.replace(listing))
        throw store_error{store_fault::unanswered, "the store's list is older than what is known"};
    kind.on_change_();
    while (true) {
        const auto changes = co_await store_.watch(mirror.kind(), mirror.revision(), watch_patience);
        mirror.apply(changes);
        if (changes.changes_.empty())
            continue;
        kind.on_change_();
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
}

auto control_duty::take_configuration() -> void
{
    const auto& objects = configuration_.mirror_.objects();
    const auto found = objects.find("main");
    if (found == objects.end())
        return;
    try {
        auto table = std::make_shared<state::routing_table>(platform::read_routing_table(found->second));
        if (table->generation_ <= generation_)
            return;
        generation_ = table->generation_;
        log_.info("configuration in force generation=" + std::to_string(generation_.value()) + " routes=" +
                  std::to_string(table->routes_.size()) + " keys=" + std::to_string(table->keys_.size()));
        on_limits_(table->limits_);
        tell_decision(table_published{std::move(table)});
    } catch (const state::error& fault) {
        log_.error(std::string{"configuration skipped reason=\""} + fault.what() + "\"");
    }
}

auto control_duty::take_endpoints() -> void
{
    auto endpoints = std::vector<state::listed_endpoint>{};
    for (const auto& [name, object] : endpoints_.mirror_.objects()) {
        try {
            endpoints.push_back(platform::read_endpoint(object));
        } catch (const state::error& fault) {
            log_.warn("endpoint entry skipped name=" + name + " reason=\"" + fault.what() + "\"");
        }
    }
    directory_.list(endpoints, clock_.now());
    publish_endpoints();
}

auto control_duty::publish_endpoints() -> void
{
    const auto now = clock_.now();
    auto current = directory_.current(now);
    log_.info("endpoints in force revision=" + std::to_string(endpoints_.mirror_.revision()) +
              " count=" + std::to_string(current.size()));
    tell_decision(endpoints_published{std::move(current)});
    const auto next = directory_.next_end(now);
    if (!next)
        return;
    directory_timer_.expires_after(*next - now);
    directory_timer_.async_wait([this](boost::system::error_code fault) {
        if (!fault)
            publish_endpoints();
    });
}

auto control_duty::take_roll_outs() -> void
{
    auto orders = std::vector<state::staged_roll_out>{};
    for (const auto& [name, object] : roll_outs_.mirror_.objects()) {
        try {
            orders.push_back(platform::read_roll_out(object));
            const auto& order = orders.back();
            log_.info("roll-out seen service=" + order.service_.text() + " target=" + order.target_.text() +
                      " state=" + std::to_string(static_cast<int>(order.state_)) +
                      " revision=" + std::to_string(order.revision_));
        } catch (const state::error& fault) {
            log_.warn("roll-out skipped name=" + name + " reason=\"" + fault.what() + "\"");
        }
    }
    tell_decision(roll_outs_published{std::move(orders)});
}

auto control_duty::register_instance() -> http::awaitable<void>
{
    auto spec = Json::Value{Json::objectValue};
    spec["control"] = settings_.control_.text();
    auto is_known = false;
    try {
        co_await store_.create(platform::kind::instances, settings_.instance_.text(), spec);
    } catch (const store_error& fault) {
        if (fault.fault() != store_fault::conflict)
            throw;
        is_known = true;
    }
    // An instance that starts again under its name may have another address.
    if (is_known)
        co_await store_.replace(platform::kind::instances, settings_.instance_.text(), spec);
}

auto control_duty::follow_instances() -> http::awaitable<void>
{
    auto is_registered = false;
    while (true) {
        try {
            if (!is_registered)
                co_await register_instance();
            is_registered = true;
            const auto listing =
                co_await store_.list(platform::kind::instances, platform::listing_age::may_be_old);
            auto addresses = std::vector<state::network_address>{};
            for (const auto& object : listing.objects_) {
                const auto& control = object["spec"]["control"];
                if (control.isString() && control.asString() != settings_.control_.text())
                    addresses.push_back(state::network_address_from_text(control.asString()));
            }
            peers_.set_peers(addresses);
        } catch (const store_error& fault) {
            log_.warn(std::string{"instances not read reason=\""} + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn(std::string{"instances not understood reason=\""} + fault.what() + "\"");
        }
        co_await sleep(instances_interval);
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
            co_await read_peer(*peer);
        } catch (const http::client_error& fault) {
            log_.info("instance not reached address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        } catch (const store_error& fault) {
            log_.warn("instance not understood address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn("instance not understood address=" + peer->text() + " reason=\"" + fault.what() + "\"");
        }
    }
}

auto control_duty::read_peer(const state::network_address& peer) -> http::awaitable<void>
{
    auto target = std::string{"/objects"};
    auto separator = '?';
    for (const auto* kind : kinds()) {
        target += separator + kind->mirror_.kind() + "=" + std::to_string(kind->mirror_.revision());
        separator = '&';
    }
    auto message = http::request{http::beast::http::verb::get, target, 11};
    const auto answer = co_await client_.fetch(peer, std::move(message), {});
    const auto value = protocol::json::parse(answer.body(), state::error_kind::invalid_request);
    for (auto* kind : kinds()) {
        if (!value.isMember(kind->mirror_.kind()))
            continue;
        const auto listing = listing_from(value[kind->mirror_.kind()]);
        if (listing.revision_ <= kind->mirror_.revision() || !kind->mirror_.replace(listing))
            continue;
        log_.info("objects taken from instance address=" + peer.text() + " kind=" + kind->mirror_.kind() +
                  " revision=" + std::to_string(listing.revision_));
        kind->on_change_();
    }
}

auto control_duty::serve_peer(http::exchange& exchange) -> http::awaitable<void>
{
    const auto target = http::split_target(exchange.message().target());
    auto value = Json::Value{Json::objectValue};
    for (const auto* kind : kinds()) {
        const auto& mirror = kind->mirror_;
        const auto known = http::query_number(target.query_, mirror.kind(), 0);
        if (mirror.revision() > known)
            value[mirror.kind()] = mirror.to_value();
    }
    co_await exchange.send(http::make_response(200, json_type, protocol::json::to_text(value)));
}

auto control_duty::take(control_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const tell_peers& item) { peers_.tell_all(item.message_); },
                   [this](const record_steps& item) {
                       for (const auto& step : item.steps_) {
                           if (recording_.insert(step.service_).second)
                               http::asio::co_spawn(duty_.context(), record(step), http::asio::detached);
                       }
                   },
               },
               action);
}

auto control_duty::record(forwarding::roll_out_step step) -> http::awaitable<void>
{
    const auto place = state::stable_hash(settings_.instance_.text(), step.revision_) % most_turns;
    co_await sleep(turn * static_cast<std::int64_t>(place));
    const auto& objects = roll_outs_.mirror_.objects();
    const auto found = objects.find(step.service_.text());
    auto order = state::staged_roll_out{};
    if (found != objects.end())
        order = platform::read_roll_out(found->second);
    if (found != objects.end() && order.revision_ == step.revision_) {
        const auto line = "service=" + step.service_.text() + " target=" + step.target_.text() +
                          " state=" + std::to_string(static_cast<int>(step.state_)) +
                          " revision=" + std::to_string(step.revision_);
        try {
            co_await store_.replace_status(platform::kind::roll_outs, step.service_.text(), step.revision_,
                                           platform::roll_out_status(order, step.state_));
            log_.info("roll-out recorded " + line);
        } catch (const store_error& fault) {
            // Another instance was first, or the step is tried again with the next report.
            log_.info("roll-out not recorded " + line + " reason=\"" + fault.what() + "\"");
        }
    }
    recording_.erase(step.service_);
}

auto control_duty::tell_decision(control_event event) -> void
{
    const auto is_taken = decision_->try_push(std::move(event));
    verify(is_taken, state::promise::internal_consistency,
           "the ring must have room for what the store and the other instances say");
}

} // namespace buckthorndale::services::front

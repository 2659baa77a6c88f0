#include <utility>

#include "front/control_duty.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "state/stable_hash.hpp"

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

/// Instances that see the same step to record take turns by this much.
constexpr auto turn = state::duration{std::chrono::milliseconds{150}};
constexpr auto most_turns = std::uint64_t{5};

} // namespace

control_duty::control_duty(const front_settings& settings)
    : settings_{settings}, client_{duty_.context()}, store_{client_, settings.store_},
      control_server_{duty_.context(), http::server_settings{.address_ = settings.control_},
                      [this](http::exchange& exchange) { return serve_peer(exchange); }},
      peers_{duty_.context(), settings,
             [this](protocol::peer::peer_message message) { tell_decision(peer_heard{std::move(message)}); }},
      watchers_{{.id_ = settings.instance_,
                 .data_centre_ = settings.data_centre_,
                 .control_ = settings.control_,
                 .link_mbps_ = settings.link_mbps_}},
      search_{clock_.now()}, news_{duty_.context()},
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
        http::asio::co_spawn(duty_.context(), follow_watchers(*kind), http::asio::detached);
    }
    http::asio::co_spawn(duty_.context(), follow_instances(), http::asio::detached);
    http::asio::co_spawn(duty_.context(), vouch_for_store(), http::asio::detached);
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

auto control_duty::kinds() const -> std::vector<const followed_kind*>
{
    return {&configuration_, &endpoints_, &roll_outs_};
}

auto control_duty::find_kind(std::string_view name) -> followed_kind*
{
    for (auto* kind : kinds()) {
        if (kind->mirror_.kind() == name)
            return kind;
    }
    return nullptr;
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
    auto endpoints = std::vector<state::registered_endpoint>{};
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

auto control_duty::take(control_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const tell_peers& item) { peers_.tell_all(item.message_); },
                   [this](const share_by_scope& item) { share(item); },
                   [this](const record_steps& item) {
                       for (const auto& step : item.steps_) {
                           if (recording_.insert(step.service_).second)
                               http::asio::co_spawn(duty_.context(), record(step), http::asio::detached);
                       }
                   },
               },
               action);
}

auto control_duty::share(const share_by_scope& evidence) -> void
{
    if (watchers_.is_watcher()) {
        peers_.tell(watchers_.other_watchers(), evidence.subtree_);
        peers_.tell(watchers_.followers(), evidence.all_);
        return;
    }
    // An instance that watches the store for a while only has its own answers to tell, as a follower has.
    if (endpoints_.watcher_)
        peers_.tell({*endpoints_.watcher_}, evidence.own_);
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
    verify(is_taken, state::guarantee::internal_consistency,
           "the ring must have room for what the store and the other instances say");
}

} // namespace buckthorndale::services::front

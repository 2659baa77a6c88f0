#include <utility>

#include "front/control_worker.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "state/error.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "state/stable_hash.hpp"
#include "transport/logging/failure_log.hpp"
#include "transport/logging/log_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <ranges>

namespace buckthorndale::services::front {

namespace http = transport::http;
using coordination::membership::currency_limits;
using platform::store_error;
using platform::store_fault;
using transport::logging::field_text;
using transport::logging::quoted_text;

namespace {

/// Instances that reach the same roll-out step record it with different delays, in multiples of this.
constexpr auto recording_delay_step = state::duration{std::chrono::milliseconds{150}};
constexpr auto recording_delay_steps = std::uint64_t{5};
constexpr auto max_logged_names = std::size_t{8};
/// An instance that has started hears of blocked parts within about a second.
constexpr auto peers_per_report = 3;

} // namespace

auto text_of(state::store_position position) -> std::string
{
    return "era=" + std::to_string(position.era_.value()) + " revision=" + std::to_string(position.revision_);
}

control_worker::control_worker(const front_settings& settings)
    : settings_{settings}, client_{worker_.context()},
      store_{client_, settings.store_address_, [this](state::store_era era) { learn_era(era); }},
      control_server_{worker_.context(),
                      http::server_settings{
                          .address_ = settings.control_address_,
                          .memory_ = std::make_shared<http::caller_memory>(caller_memory_bytes(settings))},
                      [this](http::exchange& exchange) { return serve_peer(exchange); }},
      peers_{worker_.context(), settings,
             [this](protocol::peer::peer_message message) {
                 hear_confirmations(message);
                 post_to_decision(peer_message_received{std::move(message)});
             }},
      watchers_{{.id_ = settings.instance_,
                 .data_centre_ = settings.data_centre_,
                 .control_ = settings.control_address_,
                 .link_mbps_ = settings.link_mbps_}},
      fallback_{clock_.now()}, restores_{worker_.context()}, updates_{worker_.context()},
      configuration_{.kind_ = object_kind::configuration,
                     .mirror_ = platform::object_mirror{std::string{platform::kind::configuration}},
                     .on_change_ = [this] { apply_configuration(); },
                     .currency_ =
                         coordination::membership::currency{currency_limits{settings.configuration_delay_}},
                     .check_wake_ = std::make_unique<transport::ring::notifier>(worker_.context())},
      endpoints_{.kind_ = object_kind::endpoints,
                 .mirror_ = platform::object_mirror{std::string{platform::kind::endpoints}},
                 .on_change_ = [this] { apply_endpoints(); },
                 .currency_ = coordination::membership::currency{currency_limits{settings.endpoints_delay_}},
                 .check_wake_ = std::make_unique<transport::ring::notifier>(worker_.context())},
      roll_outs_{.kind_ = object_kind::roll_outs,
                 .mirror_ = platform::object_mirror{std::string{platform::kind::roll_outs}},
                 .on_change_ = [this] { apply_roll_outs(); },
                 .currency_ = coordination::membership::currency{currency_limits{settings.roll_outs_delay_}},
                 .check_wake_ = std::make_unique<transport::ring::notifier>(worker_.context())},
      emptied_data_centres_{.kind_ = object_kind::emptied_data_centres,
                            .mirror_ =
                                platform::object_mirror{std::string{platform::kind::emptied_data_centres}},
                            .on_change_ = [this] { apply_emptied_data_centres(); },
                            .currency_ = coordination::membership::currency{currency_limits{
                                settings.emptying_delay_.value_or(settings.roll_outs_delay_)}},
                            .check_wake_ = std::make_unique<transport::ring::notifier>(worker_.context())},
      directory_timer_{worker_.context()},
      from_decision_{ring_capacity, worker_.context(), [this](control_action& action) { perform(action); }}
{}

auto control_worker::connect(transport::ring::bounded_ring<control_event>& decision,
                             limits_callback on_limits) -> void
{
    decision_ = &decision;
    on_limits_ = std::move(on_limits);
}

auto control_worker::start() -> void
{
    control_server_.start();
    peers_.start();
    for (auto* kind : kinds()) {
        kind->lost_since_ = clock_.now();
        http::asio::co_spawn(worker_.context(), follow_store(*kind),
                             transport::logging::failure_log{"control", "follow_store"});
        http::asio::co_spawn(worker_.context(), follow_watchers(*kind),
                             transport::logging::failure_log{"control", "follow_watchers"});
        http::asio::co_spawn(worker_.context(), check_currency(*kind),
                             transport::logging::failure_log{"control", "check_currency"});
    }
    http::asio::co_spawn(worker_.context(), follow_instances(),
                         transport::logging::failure_log{"control", "follow_instances"});
    http::asio::co_spawn(worker_.context(), expire_kinds(),
                         transport::logging::failure_log{"control", "expire_kinds"});
    http::asio::co_spawn(worker_.context(), poll_peers_in_outage(),
                         transport::logging::failure_log{"control", "poll_peers_in_outage"});
    worker_.start();
}

auto control_worker::stop() -> void
{
    worker_.stop();
}

auto control_worker::begin_stop() -> void
{
    http::asio::post(worker_.context(), [this] { post_to_decision(stop_requested{}); });
}

auto control_worker::end_stop() -> void
{
    http::asio::post(worker_.context(), [this] { post_to_decision(stop_overdue{}); });
}

auto control_worker::kinds() -> std::vector<followed_kind*>
{
    auto kinds = std::vector{&configuration_, &endpoints_, &roll_outs_};
    if (settings_.emptying_delay_)
        kinds.push_back(&emptied_data_centres_);
    return kinds;
}

auto control_worker::sleep(state::duration time) -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{worker_.context(), time};
    co_await timer.async_wait(http::asio::use_awaitable);
}

auto control_worker::draw() -> double
{
    constexpr auto steps = std::uint64_t{1'000'000};
    return static_cast<double>(random_.next() % steps) / static_cast<double>(steps);
}

auto control_worker::kinds() const -> std::vector<const followed_kind*>
{
    auto kinds = std::vector<const followed_kind*>{&configuration_, &endpoints_, &roll_outs_};
    if (settings_.emptying_delay_)
        kinds.push_back(&emptied_data_centres_);
    return kinds;
}

auto control_worker::find_kind(std::string_view name) -> followed_kind*
{
    for (auto* kind : kinds()) {
        if (kind->mirror_.kind() == name)
            return kind;
    }
    return nullptr;
}

auto control_worker::apply_configuration() -> void
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
        for (const auto& name : table->unusable_names_ | std::views::take(max_logged_names))
            log_.error("workspace or model skipped name=" + field_text(name) +
                       " reason=\"no header can hold its name\"");
        on_limits_(table->limits_);
        post_to_decision(table_published{std::move(table)});
    } catch (const state::error& fault) {
        log_.error(std::string{"invalid configuration skipped reason=\""} + quoted_text(fault.what()) + "\"");
    }
}

auto control_worker::apply_endpoints() -> void
{
    const auto read = endpoint_reader_.read(endpoints_.mirror_.objects(), endpoints_.mirror_.position().era_);
    for (const auto& item : read.invalid_)
        log_.warn("invalid endpoint skipped name=" + field_text(item.name_) + " reason=\"" +
                  quoted_text(item.reason_) + "\"");
    directory_.list(read.endpoints_, clock_.now());
    publish_endpoints();
}

auto control_worker::publish_endpoints() -> void
{
    const auto now = clock_.now();
    auto current = directory_.current(now);
    log_.info("endpoints in force " + text_of(endpoints_.mirror_.position()) +
              " count=" + std::to_string(current.size()));
    post_to_decision(endpoints_published{std::move(current)});
    schedule_endpoint_expiry();
}

auto control_worker::schedule_endpoint_expiry() -> void
{
    const auto now = clock_.now();
    const auto next = directory_.next_expiry(now);
    if (!next)
        return;
    directory_timer_.expires_after(*next - now);
    directory_timer_.async_wait([this](boost::system::error_code fault) {
        if (!fault)
            publish_endpoints();
    });
}

auto control_worker::apply_roll_outs() -> void
{
    auto roll_outs = std::vector<state::staged_roll_out>{};
    for (const auto& [name, object] : roll_outs_.mirror_.objects()) {
        try {
            roll_outs.push_back(platform::read_roll_out(object));
            auto& roll_out = roll_outs.back();
            roll_out.era_ = roll_outs_.mirror_.position().era_;
            log_.info("roll-out seen service=" + field_text(roll_out.service_.text()) +
                      " target=" + field_text(roll_out.target_.text()) +
                      " state=" + std::to_string(static_cast<int>(roll_out.state_)) + " " +
                      text_of({.era_ = roll_out.era_, .revision_ = roll_out.revision_}));
        } catch (const state::error& fault) {
            log_.warn("invalid roll-out skipped name=" + field_text(name) + " reason=\"" +
                      quoted_text(fault.what()) + "\"");
        }
    }
    orders_.list(roll_outs, roll_outs_.mirror_.position().era_);
    post_to_decision(roll_outs_published{orders_.current()});
}

auto control_worker::apply_emptied_data_centres() -> void
{
    // The name of an entry is the data centre; nothing else in it matters.
    auto published = emptied_data_centres_published{};
    auto text = std::string{};
    for (const auto& [name, object] : emptied_data_centres_.mirror_.objects()) {
        published.data_centres_.insert(state::data_centre_id{name});
        text.append(text.empty() ? "" : ",").append(field_text(name));
    }
    log_.info("emptied data centres in force " + text_of(emptied_data_centres_.mirror_.position()) +
              " data_centres=\"" + text + "\"");
    post_to_decision(std::move(published));
}

auto control_worker::perform(control_action& action) -> void
{
    std::visit(state::overloaded{
                   [this](const broadcast_to_peers& item) { peers_.send_to_all(item.message_); },
                   [this](const send_to_some_peers& item) {
                       for (auto i = 0; i < peers_per_report; ++i) {
                           if (const auto peer = peers_.random_peer(random_.next()))
                               peers_.send({*peer}, item.message_);
                       }
                   },
                   [this](const send_to_instance& item) {
                       if (const auto address = watchers_.address_of(item.to_))
                           peers_.send({*address}, item.message_);
                   },
                   [this](const report_by_scope& item) { send_reports(item); },
                   [this](const record_roll_out_steps& item) {
                       for (const auto& step : item.steps_) {
                           if (recording_.insert(step.service_).second)
                               http::asio::co_spawn(
                                   worker_.context(), record_step(step),
                                   transport::logging::failure_log{"control", "record_step"});
                       }
                   },
               },
               action);
}

auto control_worker::send_reports(const report_by_scope& reports) -> void
{
    if (watchers_.is_watcher()) {
        peers_.send(watchers_.other_watchers(), reports.subtree_);
        peers_.send(watchers_.followers(), reports.all_);
        return;
    }
    // An instance that watches the store only temporarily reports its own answers alone, like a follower.
    if (endpoints_.watcher_)
        peers_.send({*endpoints_.watcher_}, reports.own_);
}

auto control_worker::record_step(forwarding::roll_out_step step) -> http::awaitable<void>
{
    const auto delay_steps =
        state::stable_hash(settings_.instance_.text(), step.position_.revision_) % recording_delay_steps;
    co_await sleep(recording_delay_step * static_cast<std::int64_t>(delay_steps));
    const auto& objects = roll_outs_.mirror_.objects();
    const auto found = objects.find(step.service_.text());
    const auto is_current = found != objects.end() && !roll_outs_.is_lost_ &&
                            roll_outs_.mirror_.position().era_ == step.position_.era_ &&
                            platform::object_revision(found->second) == step.position_.revision_;
    if (is_current) {
        const auto log_fields =
            "service=" + field_text(step.service_.text()) + " target=" + field_text(step.target_.text()) +
            " state=" + std::to_string(static_cast<int>(step.state_)) + " " + text_of(step.position_);
        try {
            const auto roll_out = platform::read_roll_out(found->second);
            co_await store_.replace_status(platform::kind::roll_outs, step.service_.text(), step.position_,
                                           platform::roll_out_status(roll_out, step.state_));
            log_.info("roll-out recorded " + log_fields);
        } catch (const store_error& fault) {
            // Another instance recorded the step first, or it is retried with the next report.
            log_.info("roll-out not recorded " + log_fields + " reason=\"" + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn("roll-out not recorded " + log_fields + " reason=\"" + fault.what() + "\"");
        }
    }
    recording_.erase(step.service_);
}

auto control_worker::post_to_decision(control_event event) -> void
{
    const auto is_pushed = decision_->try_push(std::move(event));
    verify(is_pushed, state::guarantee::internal_consistency,
           "the ring to the decision worker must have room for events of the store and the other instances");
}

} // namespace buckthorndale::services::front

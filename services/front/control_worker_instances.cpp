// Part of control_worker: registers this instance and reads which others there are.

#include <utility>

#include "front/control_worker.hpp"

#include "platform/names.hpp"
#include "platform/object_codec.hpp"
#include "protocol/json/object_reader.hpp"
#include "state/error.hpp"
#include "transport/logging/log_text.hpp"

#include <algorithm>

namespace buckthorndale::services::front {

namespace http = transport::http;
using platform::store_error;
using platform::store_fault;

namespace {

/// How often the list of instances is read. The second read follows sooner, since others register meanwhile.
constexpr auto instances_interval = state::duration{std::chrono::seconds{10}};
constexpr auto first_instances_interval = state::duration{std::chrono::seconds{2}};
/// Pause after registration until the others have registered too; all instances of a deployment start within
/// 0.3 s of each other.
constexpr auto registration_delay = state::duration{std::chrono::milliseconds{500}};
/// After a restore of the store, instances register again at a random time within the spread.
constexpr auto min_registration_pause = state::duration{std::chrono::milliseconds{100}};
constexpr auto registration_spread = state::duration{std::chrono::milliseconds{800}};
/// Until all instances have registered again, those known before count as listed.
constexpr auto reregistration_time = state::duration{std::chrono::seconds{3}};

/// Throws error for an address that cannot be connected to.
auto parse_address(const std::string& text) -> state::network_address
{
    auto address = state::network_address_from_text(text);
    http::to_socket_address(address);
    return address;
}

auto parse_instance(const Json::Value& object) -> coordination::membership::listed_instance
{
    const auto name = platform::read_metadata(object).name_;
    auto reader = protocol::json::object_reader{object, "", state::error_kind::invalid_request}.child("spec");
    auto instance = coordination::membership::listed_instance{
        .id_ = state::instance_id{name},
        .data_centre_ = state::data_centre_id{reader.text("data_centre")},
        .control_ = parse_address(reader.text("control"))};
    if (const auto& speed = reader.raw("link_mbps"); speed.isInt64())
        instance.link_mbps_ = speed.asInt64();
    // Instances of older builds accept no requests of others.
    if (reader.has("relay"))
        instance.relay_ = parse_address(reader.text("relay"));
    return instance;
}

/// Leaves out and logs the entries that cannot be read.
auto parse_instances(const platform::object_listing& listing, transport::logging::logger& log)
    -> std::vector<coordination::membership::listed_instance>
{
    auto instances = std::vector<coordination::membership::listed_instance>{};
    for (const auto& object : listing.objects_) {
        try {
            instances.push_back(parse_instance(object));
        } catch (const state::error& fault) {
            log.warn("invalid instance skipped name=" +
                     transport::logging::field_text(platform::object_name(object)) + " reason=\"" +
                     transport::logging::quoted_text(fault.what()) + "\"");
        }
    }
    return instances;
}

} // namespace

auto control_worker::instance_spec() const -> Json::Value
{
    auto spec = Json::Value{Json::objectValue};
    spec["control"] = settings_.control_address_.text();
    spec["data_centre"] = settings_.data_centre_.text();
    spec["link_mbps"] = Json::Int64{settings_.link_mbps_};
    spec["relay"] = relay_address(settings_).text();
    return spec;
}

auto control_worker::publish_instances() -> void
{
    auto published = instances_published{.instances_ = watchers_.all()};
    for (const auto& item : watchers_.other_instances()) {
        if (item.relay_)
            published.relays_.push_back(
                {.id_ = item.id_, .data_centre_ = item.data_centre_, .address_ = *item.relay_});
    }
    post_to_decision(std::move(published));
}

auto control_worker::register_instance() -> http::awaitable<void>
{
    const auto spec = instance_spec();
    auto is_known = false;
    try {
        co_await store_.create(platform::kind::instances, settings_.instance_.text(), spec);
    } catch (const store_error& fault) {
        if (fault.fault() != store_fault::conflict)
            throw;
        is_known = true;
    }
    // An instance that restarts under its name may have another address.
    if (!is_known)
        co_await sleep(registration_delay);
    else
        co_await store_.replace(platform::kind::instances, settings_.instance_.text(), spec);
}

auto control_worker::register_again(const platform::object_listing& listing) -> http::awaitable<void>
{
    const auto is_listed = std::ranges::any_of(listing.objects_, [this](const Json::Value& object) {
        return platform::object_name(object) == settings_.instance_.text() &&
               object["spec"] == instance_spec();
    });
    if (!is_listed)
        co_await register_instance();
}

auto control_worker::follow_instances() -> http::awaitable<void>
{
    auto is_registered = false;
    auto is_first = true;
    auto registered_era = state::store_era{};
    auto retained_until = state::time_point{};
    while (true) {
        try {
            if (!is_registered) {
                co_await register_instance();
                registered_era = era_;
            }
            is_registered = true;
            const auto listing =
                co_await store_.list(platform::kind::instances, platform::read_consistency::may_be_stale);
            if (registered_era != listing.position_.era_) {
                co_await register_again(listing);
                retained_until = clock_.now() + reregistration_time;
                is_first = true;
                registered_era = listing.position_.era_;
            }
            if (listing.fault_)
                log_.warn("list of instances not read to its end objects=" +
                          std::to_string(listing.objects_.size()) + " reason=\"" + listing.fault_->what() +
                          "\"");
            if (listing.fault_ || clock_.now() < retained_until)
                watchers_.add(parse_instances(listing, log_));
            else
                watchers_.update(parse_instances(listing, log_));
            peers_.set_peers(watchers_.others());
            publish_instances();
            are_instances_known_ = true;
        } catch (const store_error& fault) {
            log_.warn(std::string{"list of instances could not be read reason=\""} + fault.what() + "\"");
        } catch (const state::error& fault) {
            log_.warn(std::string{"list of instances is invalid reason=\""} + fault.what() + "\"");
        }
        const auto interval = std::exchange(is_first, false) ? first_instances_interval : instances_interval;
        if (registered_era == era_)
            co_await restores_.wait(interval);
        if (registered_era != era_)
            co_await sleep(min_registration_pause +
                           std::chrono::duration_cast<state::duration>(registration_spread * draw()));
    }
}

} // namespace buckthorndale::services::front

#include "protocol/peer/peer_message.hpp"

#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::peer {

namespace forwarding = coordination::forwarding;

namespace {

constexpr auto largest_number = std::int64_t{1'000'000'000'000};

auto count_value(const forwarding::evidence_count& item) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["service"] = item.key_.service_.text();
    value["version"] = item.key_.version_.text();
    value["route"] = item.key_.route_;
    value["endpoint"] = item.key_.endpoint_.text();
    value["good"] = Json::Int64{item.counts_.good_};
    value["bad"] = Json::Int64{item.counts_.bad_};
    return value;
}

auto count_from(json::object_reader& reader) -> forwarding::evidence_count
{
    return {.key_ = {.service_ = state::service_name{reader.text("service")},
                     .version_ = state::version_name{reader.text("version")},
                     .route_ = reader.text("route"),
                     .endpoint_ = state::endpoint_id{reader.text("endpoint")}},
            .counts_ = {.good_ = reader.integer("good", 0, largest_number),
                        .bad_ = reader.integer("bad", 0, largest_number)}};
}

} // namespace

auto to_text(const peer_message& message) -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["from"] = message.from_.text();
    value["life"] = std::to_string(message.roll_outs_.life_.value());
    for (const auto& item : message.roll_outs_.counts_)
        value["counts"].append(count_value(item));
    for (const auto& item : message.roll_outs_.ages_) {
        auto age = Json::Value{Json::objectValue};
        age["service"] = item.service_.text();
        age["created"] = std::to_string(item.created_);
        age["age_us"] = Json::Int64{item.age_.count()};
        value["ages"].append(age);
    }
    for (const auto& item : message.crashes_) {
        auto crash = Json::Value{Json::objectValue};
        crash["endpoint"] = item.endpoint_.text();
        crash["content"] = std::to_string(item.content_.value());
        value["crashes"].append(crash);
    }
    return json::to_text(value);
}

auto peer_message_from_text(std::string_view text) -> peer_message
{
    const auto value = json::parse(text, state::error_kind::invalid_request);
    auto reader = json::object_reader{value, "", state::error_kind::invalid_request};
    auto message = peer_message{.from_ = state::instance_id{reader.text("from")}};
    message.roll_outs_.life_ = state::incarnation{reader.number("life")};
    for (auto& item : reader.children("counts"))
        message.roll_outs_.counts_.push_back(count_from(item));
    for (auto& item : reader.children("ages"))
        message.roll_outs_.ages_.push_back(
            {.service_ = state::service_name{item.text("service")},
             .created_ = item.number("created"),
             .age_ = state::duration{item.integer("age_us", 0, largest_number)}});
    for (auto& item : reader.children("crashes"))
        message.crashes_.push_back({.endpoint_ = state::endpoint_id{item.text("endpoint")},
                                    .content_ = state::content_fingerprint{item.number("content")}});
    return message;
}

} // namespace buckthorndale::protocol::peer

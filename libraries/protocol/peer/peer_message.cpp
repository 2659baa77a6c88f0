#include "protocol/peer/peer_message.hpp"

#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"

#include <json/value.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace buckthorndale::protocol::peer {

namespace forwarding = coordination::forwarding;

namespace {

constexpr auto max_value = std::int64_t{1'000'000'000'000};
/// No duration falls into a higher bin of a time_histogram.
constexpr auto max_bin = std::int64_t{64} * coordination::roll_out::time_histogram::bins_per_octave;
constexpr auto max_work_ms = std::int64_t{3'600'000};

/// Groups the counts by service, version and route; each row holds endpoint group, good count and bad count.
auto counts_to_json(const std::vector<forwarding::evidence_count>& counts) -> Json::Value
{
    auto groups = std::map<std::tuple<std::string, std::string, std::string>, Json::Value>{};
    for (const auto& item : counts) {
        auto row = Json::Value{Json::arrayValue};
        row.append(item.key_.endpoint_group_);
        row.append(Json::Int64{item.counts_.good_});
        row.append(Json::Int64{item.counts_.bad_});
        groups[{item.key_.service_.text(), item.key_.version_.text(), item.key_.route_}].append(row);
    }
    auto value = Json::Value{Json::arrayValue};
    for (const auto& [key, rows] : groups) {
        auto group = Json::Value{Json::objectValue};
        group["service"] = std::get<0>(key);
        group["version"] = std::get<1>(key);
        group["route"] = std::get<2>(key);
        group["rows"] = rows;
        value.append(group);
    }
    return value;
}

auto read_count(const Json::Value& row, Json::ArrayIndex index) -> std::int64_t
{
    const auto& found = row[index];
    if (!found.isInt64() || found.asInt64() < 0 || found.asInt64() > max_value)
        throw state::error{state::error_kind::invalid_request,
                           "A count is not an integer in the allowed range.",
                           "Send integers from 0 to 1000000000000."};
    return found.asInt64();
}

auto read_counts(json::object_reader& reader, std::vector<forwarding::evidence_count>& counts) -> void
{
    constexpr auto columns = 3U;
    const auto service = state::service_name{reader.text("service")};
    const auto version = state::version_name{reader.text("version")};
    const auto route = reader.text("route");
    for (const auto& row : reader.raw("rows")) {
        if (!row.isArray() || row.size() != columns)
            throw state::error{state::error_kind::invalid_request,
                               "A row of counts does not have three columns.",
                               "Send endpoint group, good count and bad count."};
        counts.push_back({.key_ = {.service_ = service,
                                   .version_ = version,
                                   .route_ = route,
                                   .endpoint_group_ = static_cast<std::int32_t>(read_count(row, 0))},
                          .counts_ = {.good_ = read_count(row, 1), .bad_ = read_count(row, 2)}});
    }
}

/// Groups the times by service, version and kind of work. A row holds the endpoint group, then pairs of bin
/// and count.
auto times_to_json(const std::vector<forwarding::time_count>& times) -> Json::Value
{
    using group_key = std::tuple<std::string, std::string, coordination::roll_out::work_kind>;
    auto groups = std::map<group_key, Json::Value>{};
    for (const auto& item : times) {
        auto row = Json::Value{Json::arrayValue};
        row.append(item.key_.endpoint_group_);
        for (const auto& [bin, count] : item.times_.counts()) {
            row.append(bin);
            row.append(Json::Int64{count});
        }
        groups[{item.key_.service_.text(), item.key_.version_.text(), item.key_.work_}].append(row);
    }
    auto value = Json::Value{Json::arrayValue};
    for (const auto& [key, rows] : groups) {
        const auto& [service, version, work] = key;
        auto group = Json::Value{Json::objectValue};
        group["service"] = service;
        group["version"] = version;
        group["route"] = work.route_;
        if (!work.model_.empty())
            group["model"] = work.model_;
        group["measure"] = static_cast<int>(work.measure_);
        group["rows"] = rows;
        value.append(group);
    }
    return value;
}

auto read_times(json::object_reader& reader, std::vector<forwarding::time_count>& times) -> void
{
    using coordination::roll_out::time_measure;
    constexpr auto last_measure = static_cast<std::int64_t>(time_measure::whole);
    const auto service = state::service_name{reader.text("service")};
    const auto version = state::version_name{reader.text("version")};
    const auto work = coordination::roll_out::work_kind{
        .measure_ = static_cast<time_measure>(reader.integer("measure", 0, last_measure)),
        .route_ = reader.text("route"),
        .model_ = reader.text_or("model", "")};
    for (const auto& row : reader.raw("rows")) {
        if (!row.isArray() || row.size() % 2 != 1)
            throw state::error{state::error_kind::invalid_request,
                               "A row of times does not have an odd number of columns.",
                               "Send endpoint group, then pairs of bin and count."};
        auto histogram = coordination::roll_out::time_histogram{};
        for (auto index = Json::ArrayIndex{1}; index < row.size(); index += 2)
            histogram.add(static_cast<std::int32_t>(std::min(read_count(row, index), max_bin)),
                          read_count(row, index + 1));
        times.push_back({.key_ = {.service_ = service,
                                  .version_ = version,
                                  .work_ = work,
                                  .endpoint_group_ = static_cast<std::int32_t>(read_count(row, 0))},
                         .times_ = std::move(histogram)});
    }
}

auto work_to_json(const std::vector<forwarding::endpoint_work>& work) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    for (const auto& item : work) {
        const auto pending = std::chrono::duration_cast<std::chrono::milliseconds>(item.pending_);
        value[item.endpoint_.text()] = Json::Int64{pending.count()};
    }
    return value;
}

/// Each endpoint's row holds the time taken and the time expected.
auto paces_to_json(const std::vector<forwarding::endpoint_pace_sums>& sums) -> Json::Value
{
    const auto milliseconds = [](state::duration time) {
        return Json::Int64{std::chrono::duration_cast<std::chrono::milliseconds>(time).count()};
    };
    auto value = Json::Value{Json::objectValue};
    for (const auto& item : sums) {
        auto& row = value[item.endpoint_.text()] = Json::Value{Json::arrayValue};
        row.append(milliseconds(item.taken_));
        row.append(milliseconds(item.expected_));
    }
    return value;
}

auto read_paces(const Json::Value& value) -> std::vector<forwarding::endpoint_pace_sums>
{
    constexpr auto columns = 2U;
    const auto is_time = [](const Json::Value& item) {
        return item.isInt64() && item.asInt64() >= 0 && item.asInt64() <= max_work_ms;
    };
    auto sums = std::vector<forwarding::endpoint_pace_sums>{};
    for (const auto& endpoint : value.getMemberNames()) {
        const auto& row = value[endpoint];
        if (!row.isArray() || row.size() != columns || !is_time(row[0]) || !is_time(row[1]))
            throw state::error{state::error_kind::invalid_request,
                               "The pace of an endpoint is not a pair of durations in the allowed range.",
                               "Send the time taken and the time expected in integer milliseconds, at most "
                               "one hour each."};
        sums.push_back({.endpoint_ = state::endpoint_id{endpoint},
                        .taken_ = std::chrono::milliseconds{row[0].asInt64()},
                        .expected_ = std::chrono::milliseconds{row[1].asInt64()}});
    }
    return sums;
}

auto read_work(const Json::Value& value) -> std::vector<forwarding::endpoint_work>
{
    auto work = std::vector<forwarding::endpoint_work>{};
    for (const auto& endpoint : value.getMemberNames()) {
        const auto& pending = value[endpoint];
        if (!pending.isInt64() || pending.asInt64() < 0 || pending.asInt64() > max_work_ms)
            throw state::error{state::error_kind::invalid_request,
                               "The pending work of an endpoint is not a duration in the allowed range.",
                               "Send integer milliseconds, at most one hour."};
        work.push_back({.endpoint_ = state::endpoint_id{endpoint},
                        .pending_ = std::chrono::milliseconds{pending.asInt64()}});
    }
    return work;
}

auto permits_to_json(const std::vector<forwarding::permit_transfer>& permits) -> Json::Value
{
    auto value = Json::Value{Json::arrayValue};
    for (const auto& item : permits) {
        auto permit = Json::Value{Json::objectValue};
        permit["endpoint"] = item.endpoint_.text();
        permit["incarnation"] = std::to_string(item.incarnation_);
        permit["count"] = item.count_;
        permit["valid_us"] = Json::Int64{item.valid_for_.count()};
        value.append(permit);
    }
    return value;
}

auto read_permits(json::object_reader& reader, std::string_view field)
    -> std::vector<forwarding::permit_transfer>
{
    constexpr auto max_count = std::int64_t{1'000'000};
    auto permits = std::vector<forwarding::permit_transfer>{};
    for (auto& item : reader.children(field))
        permits.push_back({.endpoint_ = state::endpoint_id{item.text("endpoint")},
                           .incarnation_ = item.number("incarnation"),
                           .count_ = static_cast<std::int32_t>(item.integer("count", 0, max_count)),
                           .valid_for_ = state::duration{item.integer("valid_us", 0, max_value)}});
    return permits;
}

/// Reads a number of requests a second, from 0 to a million.
auto read_rate(json::object_reader& reader, std::string_view field) -> double
{
    constexpr auto max_rate = 1'000'000.0;
    const auto& value = reader.raw(field);
    if (!value.isNumeric() || !(value.asDouble() >= 0) || value.asDouble() > max_rate)
        throw state::error{state::error_kind::invalid_request,
                           "A rate of requests is not a number in the allowed range.",
                           "Send a number from 0 to 1000000."};
    return value.asDouble();
}

auto limits_to_json(const forwarding::limit_message& message, Json::Value& value) -> void
{
    for (const auto& item : message.limits_) {
        auto limit = Json::Value{Json::objectValue};
        limit["endpoint"] = item.endpoint_.text();
        limit["incarnation"] = std::to_string(item.incarnation_);
        limit["rate"] = item.rate_;
        limit["seen_us"] = Json::Int64{item.seen_ago_.count()};
        limit["began_us"] = Json::Int64{item.began_ago_.count()};
        value["limits"].append(limit);
    }
    if (!message.wanted_permits_.empty())
        value["wanted_permits"] = permits_to_json(message.wanted_permits_);
    if (!message.permits_.empty())
        value["permits"] = permits_to_json(message.permits_);
    for (const auto& item : message.declines_) {
        auto decline = Json::Value{Json::objectValue};
        decline["endpoint"] = item.endpoint_.text();
        decline["incarnation"] = std::to_string(item.incarnation_);
        decline["max_declines"] = item.max_declines_;
        value["declines"].append(decline);
    }
}

auto read_limits(json::object_reader& reader) -> forwarding::limit_message
{
    auto message = forwarding::limit_message{};
    for (auto& item : reader.children("limits"))
        message.limits_.push_back({.endpoint_ = state::endpoint_id{item.text("endpoint")},
                                   .incarnation_ = item.number("incarnation"),
                                   .rate_ = read_rate(item, "rate"),
                                   .seen_ago_ = state::duration{item.integer("seen_us", 0, max_value)},
                                   .began_ago_ = state::duration{item.integer("began_us", 0, max_value)}});
    message.wanted_permits_ = read_permits(reader, "wanted_permits");
    message.permits_ = read_permits(reader, "permits");
    for (auto& item : reader.children("declines"))
        message.declines_.push_back({.endpoint_ = state::endpoint_id{item.text("endpoint")},
                                     .incarnation_ = item.number("incarnation"),
                                     .max_declines_ = read_rate(item, "max_declines")});
    return message;
}

auto read_part(const std::string& text) -> state::prompt_part_key
{
    const auto number = state::number_from_text<std::uint64_t>(text);
    if (!number)
        throw state::error{state::error_kind::invalid_request, "A part of a prompt is not a number.",
                           "Send the hash of its ID as decimal digits."};
    return state::prompt_part_key{*number};
}

/// Older builds send no era.
auto read_era(json::object_reader& reader) -> state::store_era
{
    return state::store_era{reader.has("era") ? reader.number("era") : 0};
}

} // namespace

auto to_text(const peer_message& message) -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["from"] = message.from_.text();
    value["life"] = std::to_string(message.roll_outs_.life_.value());
    value["scope"] = static_cast<int>(message.scope_);
    if (!message.roll_outs_.counts_.empty())
        value["counts"] = counts_to_json(message.roll_outs_.counts_);
    if (!message.roll_outs_.times_.empty())
        value["times"] = times_to_json(message.roll_outs_.times_);
    for (const auto& item : message.roll_outs_.ages_) {
        auto age = Json::Value{Json::objectValue};
        age["service"] = item.service_.text();
        age["era"] = std::to_string(item.era_.value());
        age["created"] = std::to_string(item.created_);
        age["age_us"] = Json::Int64{item.age_.count()};
        age["is_halted"] = item.is_halted_;
        age["is_accepted"] = item.is_accepted_;
        value["ages"].append(age);
    }
    for (const auto& item : message.crashes_) {
        auto crash = Json::Value{Json::objectValue};
        crash["endpoint"] = item.endpoint_.text();
        crash["content"] = std::to_string(item.content_.value());
        crash["sent_us"] = Json::Int64{item.sent_ago_.count()};
        for (const auto part : item.parts_)
            crash["parts"].append(std::to_string(part.value()));
        value["crashes"].append(crash);
    }
    for (const auto& item : message.cleared_parts_) {
        auto cleared = Json::Value{Json::objectValue};
        cleared["part"] = std::to_string(item.part_.value());
        cleared["began_us"] = Json::Int64{item.began_ago_.count()};
        if (item.is_content_)
            cleared["is_content"] = true;
        value["cleared_parts"].append(cleared);
    }
    for (const auto& item : message.blocked_parts_) {
        auto blocked = Json::Value{Json::objectValue};
        blocked["part"] = std::to_string(item.part_.value());
        blocked["crashed_us"] = Json::Int64{item.crashed_ago_.count()};
        blocked["trial_us"] = Json::Int64{std::max(item.trial_in_, state::duration::zero()).count()};
        blocked["interval_us"] = Json::Int64{item.trial_interval_.count()};
        if (item.is_content_)
            blocked["is_content"] = true;
        value["blocked_parts"].append(blocked);
    }
    for (const auto& item : message.leaving_) {
        auto leaving = Json::Value{Json::objectValue};
        leaving["endpoint"] = item.endpoint_.text();
        leaving["incarnation"] = std::to_string(item.incarnation_);
        leaving["registered_at"] = std::to_string(item.registered_at_);
        value["leaving"].append(leaving);
    }
    for (const auto& item : message.confirmations_) {
        auto confirmation = Json::Value{Json::objectValue};
        confirmation["kind"] = item.kind_;
        confirmation["era"] = std::to_string(item.confirmation_.position_.era_.value());
        confirmation["revision"] = std::to_string(item.confirmation_.position_.revision_);
        confirmation["fingerprint"] = std::to_string(item.confirmation_.fingerprint_);
        confirmation["age_us"] = Json::Int64{item.confirmation_.age_.count()};
        value["confirmations"].append(confirmation);
    }
    limits_to_json(message.limits_, value);
    if (message.work_)
        value["work_ms"] = work_to_json(*message.work_);
    if (message.paces_)
        value["paces_ms"] = paces_to_json(*message.paces_);
    return json::to_text(value);
}

auto peer_message_from_text(std::string_view text) -> peer_message
{
    const auto value = json::parse(text, state::error_kind::invalid_request);
    auto reader = json::object_reader{value, "", state::error_kind::invalid_request};
    auto message = peer_message{.from_ = state::instance_id{reader.text("from")}};
    message.roll_outs_.life_ = state::incarnation{reader.number("life")};
    message.scope_ = static_cast<forwarding::report_scope>(reader.integer("scope", 0, 2));
    for (auto& item : reader.children("counts"))
        read_counts(item, message.roll_outs_.counts_);
    for (auto& item : reader.children("times"))
        read_times(item, message.roll_outs_.times_);
    for (auto& item : reader.children("ages"))
        message.roll_outs_.ages_.push_back({.service_ = state::service_name{item.text("service")},
                                            .era_ = read_era(item),
                                            .created_ = item.number("created"),
                                            .age_ = state::duration{item.integer("age_us", 0, max_value)},
                                            .is_halted_ = item.boolean_or("is_halted", false),
                                            .is_accepted_ = item.boolean_or("is_accepted", false)});
    for (auto& item : reader.children("crashes")) {
        message.crashes_.push_back(
            {.endpoint_ = state::endpoint_id{item.text("endpoint")},
             .content_ = state::content_fingerprint{item.number("content")},
             .sent_ago_ = state::duration{item.integer_or("sent_us", 0, max_value, 0)}});
        for (const auto& part : item.texts("parts"))
            message.crashes_.back().parts_.push_back(read_part(part));
    }
    for (auto& item : reader.children("cleared_parts"))
        message.cleared_parts_.push_back(
            {.part_ = state::prompt_part_key{item.number("part")},
             .began_ago_ = state::duration{item.integer("began_us", 0, max_value)},
             .is_content_ = item.boolean_or("is_content", false)});
    for (auto& item : reader.children("blocked_parts"))
        message.blocked_parts_.push_back(
            {.part_ = state::prompt_part_key{item.number("part")},
             .crashed_ago_ = state::duration{item.integer("crashed_us", 0, max_value)},
             .trial_in_ = state::duration{item.integer("trial_us", 0, max_value)},
             .trial_interval_ = state::duration{item.integer_or("interval_us", 0, max_value, 0)},
             .is_content_ = item.boolean_or("is_content", false)});
    for (auto& item : reader.children("leaving"))
        message.leaving_.push_back({.endpoint_ = state::endpoint_id{item.text("endpoint")},
                                    .incarnation_ = item.number("incarnation"),
                                    .registered_at_ = item.number("registered_at")});
    for (auto& item : reader.children("confirmations"))
        message.confirmations_.push_back(
            {.kind_ = item.text("kind"),
             .confirmation_ = {.position_ = {.era_ = read_era(item), .revision_ = item.number("revision")},
                               .fingerprint_ = item.number("fingerprint"),
                               .age_ = state::duration{item.integer("age_us", 0, max_value)}}});
    message.limits_ = read_limits(reader);
    const auto& work = reader.raw("work_ms");
    if (work.isObject())
        message.work_ = read_work(work);
    // Older builds do not report it.
    const auto& paces = reader.raw("paces_ms");
    if (paces.isObject())
        message.paces_ = read_paces(paces);
    return message;
}

} // namespace buckthorndale::protocol::peer

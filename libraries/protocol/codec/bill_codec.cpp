#include "protocol/codec/bill_codec.hpp"

#include "protocol/codec/wall_time.hpp"

#include <limits>

namespace buckthorndale::protocol::codec {

namespace {

constexpr auto max_amount = std::numeric_limits<std::int64_t>::max() / 1'000'000;

auto to_json(const state::bill_part& part) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["version"] = part.version_.text();
    value["tokens"] = Json::Int64{part.tokens_.value()};
    value["cost"] = Json::Int64{part.cost_.value()};
    return value;
}

auto read_bill_part(json::object_reader reader) -> state::bill_part
{
    auto part = state::bill_part{};
    const auto version = reader.text("version");
    // Requests forwarded to a service have no model version; their version key is written as a bare "@".
    if (version != "@")
        part.version_ = state::version_key_from_text(version);
    part.tokens_ = state::token_count{reader.integer("tokens", 0, max_amount)};
    part.cost_ = state::micro_credits{reader.integer("cost", 0, max_amount)};
    reader.finish();
    return part;
}

} // namespace

auto to_json(const state::bill_record& record) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["workspace"] = record.key_.workspace_.text();
    value["request"] = record.key_.request_.text();
    value["profile"] = record.profile_.text();
    value["origin"] = record.origin_.text();
    value["incarnation"] = std::to_string(record.origin_incarnation_.value());
    value["sequence"] = Json::UInt64{record.sequence_};
    value["completed"] = to_text(record.completed_);
    value["parts"] = Json::Value{Json::arrayValue};
    for (const auto& part : record.parts_)
        value["parts"].append(to_json(part));
    return value;
}

auto read_bill_record(json::object_reader reader) -> state::bill_record
{
    auto record = state::bill_record{};
    record.key_.workspace_ = state::workspace_id{reader.text("workspace")};
    record.key_.request_ = state::request_id{reader.text("request")};
    record.profile_ = state::profile_name{reader.text_or("profile", "")};
    record.origin_ = state::instance_id{reader.text("origin")};
    record.origin_incarnation_ = state::incarnation{reader.number("incarnation")};
    record.sequence_ = reader.number("sequence");
    record.completed_ = wall_time_from_text(reader.text("completed"));
    for (auto& child : reader.children("parts"))
        record.parts_.push_back(read_bill_part(child));
    reader.finish();
    return record;
}

auto to_json(const coordination::billing::bill_segment& segment) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["writer"] = segment.writer_.text();
    value["incarnation"] = std::to_string(segment.writer_incarnation_.value());
    value["number"] = Json::UInt64{segment.number_};
    value["records"] = Json::Value{Json::arrayValue};
    for (const auto& record : segment.records_)
        value["records"].append(to_json(record));
    return value;
}

auto read_bill_segment(json::object_reader reader) -> coordination::billing::bill_segment
{
    auto segment = coordination::billing::bill_segment{};
    segment.writer_ = state::instance_id{reader.text("writer")};
    segment.writer_incarnation_ = state::incarnation{reader.number("incarnation")};
    segment.number_ = reader.number("number");
    for (auto& child : reader.children("records"))
        segment.records_.push_back(read_bill_record(child));
    reader.finish();
    return segment;
}

auto to_json(const coordination::billing::record_id& id) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["origin"] = id.origin_.text();
    value["incarnation"] = std::to_string(id.incarnation_.value());
    value["sequence"] = Json::UInt64{id.sequence_};
    return value;
}

auto read_record_id(json::object_reader reader) -> coordination::billing::record_id
{
    auto id = coordination::billing::record_id{};
    id.origin_ = state::instance_id{reader.text("origin")};
    id.incarnation_ = state::incarnation{reader.number("incarnation")};
    id.sequence_ = reader.number("sequence");
    reader.finish();
    return id;
}

} // namespace buckthorndale::protocol::codec

#include "protocol/codec/instance_list_codec.hpp"

#include "protocol/codec/enumerations.hpp"
#include "state/error.hpp"

#include <string>

namespace buckthorndale::protocol::codec {

namespace {

constexpr auto max_slots = std::int64_t{100'000};
constexpr auto default_slots = std::int64_t{8};

/// Calls `read` with each entry of an array, and records those that it throws for.
template <typename Read>
auto read_readable(json::object_reader& reader, const std::string& field,
                   std::vector<json::unreadable_part>& unreadable, const Read& read) -> void
{
    const auto& entries = reader.raw(field);
    if (!entries.isNull() && !entries.isArray())
        throw state::error{state::error_kind::platform_unavailable, "'" + field + "' is not an array.",
                           "Write it as [ ... ]."};
    for (auto index = Json::ArrayIndex{0}; index < entries.size(); ++index) {
        const auto path = field + "[" + std::to_string(index) + "]";
        try {
            read(json::object_reader{entries[index], path, state::error_kind::platform_unavailable});
        } catch (const state::error& fault) {
            unreadable.push_back({.path_ = path, .reason_ = fault.what()});
        }
    }
}

} // namespace

auto to_json(const state::endpoint& endpoint) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["id"] = endpoint.id_.text();
    value["kind"] = std::string{to_text(endpoint.kind_)};
    value["address"] = endpoint.address_.text();
    value["data_centre"] = endpoint.data_centre_.text();
    value["state"] = std::string{to_text(endpoint.state_)};
    value["versions"] = Json::Value{Json::arrayValue};
    for (const auto& version : endpoint.versions_)
        value["versions"].append(version.text());
    value["service"] = endpoint.service_.text();
    value["slots"] = endpoint.slots_;
    return value;
}

auto read_endpoint(json::object_reader reader) -> state::endpoint
{
    auto endpoint = state::endpoint{};
    endpoint.id_ = state::endpoint_id{reader.text("id")};
    endpoint.kind_ = endpoint_kind_from_text(reader.text("kind"));
    endpoint.address_ = state::network_address_from_text(reader.text("address"));
    endpoint.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    endpoint.state_ = instance_state_from_text(reader.text_or("state", "live"));
    for (const auto& text : reader.texts("versions"))
        endpoint.versions_.push_back(state::version_key_from_text(text));
    endpoint.service_ = state::service_name{reader.text_or("service", "")};
    endpoint.slots_ = static_cast<std::int32_t>(reader.integer_or("slots", 1, max_slots, default_slots));
    reader.finish();
    return endpoint;
}

auto to_json(const state::member& member) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["id"] = member.id_.text();
    value["data_centre"] = member.data_centre_.text();
    value["agent"] = member.agent_.text();
    value["router"] = member.router_.text();
    value["state"] = std::string{to_text(member.state_)};
    return value;
}

auto read_member(json::object_reader reader) -> state::member
{
    auto member = state::member{};
    member.id_ = state::instance_id{reader.text("id")};
    member.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    member.agent_ = state::network_address_from_text(reader.text("agent"));
    member.router_ = state::network_address_from_text(reader.text("router"));
    member.state_ = instance_state_from_text(reader.text_or("state", "live"));
    reader.finish();
    return member;
}

auto to_json(const state::instance_list& list) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["version"] = Json::UInt64{list.version_};
    value["members"] = Json::Value{Json::arrayValue};
    for (const auto& member : list.members_)
        value["members"].append(to_json(member));
    value["endpoints"] = Json::Value{Json::arrayValue};
    for (const auto& endpoint : list.endpoints_)
        value["endpoints"].append(to_json(endpoint));
    return value;
}

auto read_instance_list(json::object_reader reader, std::vector<json::unreadable_part>& unreadable)
    -> state::instance_list
{
    auto list = state::instance_list{};
    list.version_ = reader.number("version");
    read_readable(reader, "members", unreadable,
                  [&](json::object_reader child) { list.members_.push_back(read_member(child)); });
    read_readable(reader, "endpoints", unreadable,
                  [&](json::object_reader child) { list.endpoints_.push_back(read_endpoint(child)); });
    reader.finish();
    return list;
}

auto read_instance_list(json::object_reader reader) -> state::instance_list
{
    auto list = state::instance_list{};
    list.version_ = reader.number("version");
    for (auto& child : reader.children("members"))
        list.members_.push_back(read_member(child));
    for (auto& child : reader.children("endpoints"))
        list.endpoints_.push_back(read_endpoint(child));
    reader.finish();
    return list;
}

} // namespace buckthorndale::protocol::codec

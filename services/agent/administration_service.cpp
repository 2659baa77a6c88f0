#include <utility>

#include "agent/administration_service.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "protocol/caller/problem.hpp"
#include "protocol/codec/bill_codec.hpp"
#include "protocol/codec/configuration_codec.hpp"
#include "protocol/codec/instance_list_codec.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"
#include "state/number_from_text.hpp"
#include "transport/http/query.hpp"

#include <algorithm>

namespace buckthorndale::services::agent {

namespace http = transport::http;
namespace codec = protocol::codec;
using state::error;
using state::error_kind;

namespace {

constexpr auto api_prefix = std::string_view{"/v1/"};

/// The decoded segments of a path after its prefix.
auto split_path(std::string_view path) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>{};
    path.remove_prefix(std::min(path.size(), api_prefix.size()));
    while (!path.empty()) {
        const auto slash = path.find('/');
        parts.push_back(http::decode_percent(path.substr(0, slash)));
        path = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
    }
    return parts;
}

auto no_such_path(const std::string& path) -> error
{
    return error{error_kind::not_found, "No resource at " + path + ".",
                 "See the operations documentation for the paths."};
}

auto make_reader(const Json::Value& value) -> protocol::json::object_reader
{
    return {value, "", error_kind::invalid_request};
}

auto read_content(const std::string& kind, const Json::Value& value) -> state::change_content
{
    if (kind == "versions")
        return codec::read_version(make_reader(value));
    if (kind == "profiles")
        return codec::read_profile(make_reader(value));
    if (kind == "workspaces")
        return codec::read_workspace(make_reader(value));
    if (kind == "roll-outs")
        return codec::read_roll_out(make_reader(value));
    throw no_such_path(kind);
}

auto make_removal(const std::string& kind, const std::string& name) -> state::change_content
{
    if (kind == "versions")
        return state::removal{state::version_key_from_text(name)};
    if (kind == "profiles")
        return state::removal{state::profile_name{name}};
    if (kind == "workspaces")
        return state::removal{state::workspace_id{name}};
    if (kind == "roll-outs")
        return state::removal{state::model_name{name}};
    throw no_such_path(kind);
}

template <typename Map>
auto items_to_json(const Map& map) -> Json::Value
{
    auto array = Json::Value{Json::arrayValue};
    for (const auto& [key, value] : map)
        array.append(codec::to_json(value));
    return array;
}

template <typename Item>
auto item_to_json(const Item* item, const std::string& name) -> Json::Value
{
    if (item == nullptr)
        throw error{error_kind::not_found, "There is no " + name + ".",
                    "List the existing items and check the name."};
    return codec::to_json(*item);
}

auto read_based_on(const administration_call& call) -> std::optional<state::generation>
{
    if (call.based_on_.empty())
        return std::nullopt;
    const auto number = state::number_from_text<std::uint64_t>(call.based_on_);
    if (!number)
        throw error{error_kind::invalid_request, "If-Match is not a generation number.",
                    "Send the generation that the change is based on."};
    return state::generation{*number};
}

} // namespace

auto administration_service::answer(administration_call call) -> http::awaitable<administration_reply>
{
    auto reply = administration_reply{.number_ = call.number_};
    try {
        auto value = co_await route_call(call);
        value["generation"] = Json::UInt64{shared_.replica_.current()->generation_.value()};
        reply.body_ = protocol::json::to_text(value);
    } catch (const state::error& fault) {
        reply.status_ = protocol::caller::status_of(fault.kind());
        reply.media_type_ = protocol::caller::problem_media_type;
        reply.body_ = protocol::caller::problem_text(fault);
    }
    co_return reply;
}

auto administration_service::route_call(const administration_call& call) -> http::awaitable<Json::Value>
{
    const auto path = split_path(call.path_);
    if (!call.path_.starts_with(api_prefix) || path.empty())
        throw no_such_path(call.path_);
    if (call.method_ == "GET")
        co_return co_await read(call, path);
    if (call.method_ == "PUT" && path.size() == 1) {
        const auto value = protocol::json::parse(call.body_, error_kind::invalid_request);
        co_return co_await change(call, read_content(path[0], value));
    }
    if (call.method_ == "DELETE" && path.size() == 2)
        co_return co_await change(call, make_removal(path[0], path[1]));
    if (call.method_ == "POST" && path.size() == 3 && path[0] == "versions")
        co_return co_await change(call, act_on_version(path[1], path[2]));
    if (call.method_ == "POST" && path.size() == 3 && path[0] == "roll-outs")
        co_return co_await change(call, act_on_roll_out(path[1], path[2], call.query_));
    throw no_such_path(call.method_ + " " + call.path_);
}

auto administration_service::read(const administration_call& call, const segments& path)
    -> http::awaitable<Json::Value>
{
    if (path[0] == "status")
        co_return status();
    if (path[0] == "changes")
        co_return changes();
    if (path[0] == "evidence")
        co_return evidence();
    if (path[0] == "instances")
        co_return codec::to_json(shared_.instance_list_);
    if (path[0] == "ledger")
        co_return co_await read_ledger(call.query_);
    if (path.size() == 1)
        co_return list(path[0]);
    auto value = Json::Value{Json::objectValue};
    value["item"] = find(path[0], path[1]);
    co_return value;
}

auto administration_service::list(const std::string& kind) const -> Json::Value
{
    const auto current = shared_.replica_.current();
    auto value = Json::Value{Json::objectValue};
    if (kind == "versions")
        value["items"] = items_to_json(current->versions_);
    else if (kind == "profiles")
        value["items"] = items_to_json(current->profiles_);
    else if (kind == "workspaces")
        value["items"] = items_to_json(current->workspaces_);
    else if (kind == "roll-outs")
        value["items"] = items_to_json(current->roll_outs_);
    else
        throw no_such_path(kind);
    return value;
}

auto administration_service::find(const std::string& kind, const std::string& name) const -> Json::Value
{
    const auto current = shared_.replica_.current();
    if (kind == "versions")
        return item_to_json(current->find_version(state::version_key_from_text(name)), "version " + name);
    if (kind == "profiles")
        return item_to_json(current->find_profile(state::profile_name{name}), "profile " + name);
    if (kind == "workspaces")
        return item_to_json(current->find_workspace(state::workspace_id{name}), "workspace " + name);
    if (kind == "roll-outs")
        return item_to_json(current->find_roll_out(state::model_name{name}), "roll-out " + name);
    throw no_such_path(kind);
}

auto administration_service::read_ledger(const std::string& query) -> http::awaitable<Json::Value>
{
    const auto ledger = co_await ledger_.read_ledger();
    if (!ledger)
        throw error{error_kind::platform_unavailable, "The platform does not respond.", "Try again later."};
    const auto workspace = http::query_text(query, "workspace");
    auto value = Json::Value{Json::objectValue};
    value["items"] = Json::Value{Json::arrayValue};
    for (const auto& [key, record] : ledger->bills_.bills()) {
        if (!workspace.empty() && key.workspace_.text() != workspace)
            continue;
        auto item = codec::to_json(record);
        item["total"] = Json::Int64{record.total().value()};
        value["items"].append(item);
    }
    value["unreadable"] = Json::UInt64{ledger->unreadable_};
    value["folded"] = Json::UInt64{ledger->bills_.duplicates()};
    co_return value;
}

auto administration_service::status() -> Json::Value
{
    const auto now = shared_.clock_.now();
    auto value = Json::Value{Json::objectValue};
    value["instance"] = shared_.settings_.instance_.text();
    value["data_centre"] = shared_.settings_.data_centre_.text();
    value["confirmed"] = synchroniser_.is_confirmed();
    value["list_version"] = Json::UInt64{shared_.instance_list_.version_};
    value["bills_held"] = Json::UInt64{shared_.bill_table_.size()};
    value["oldest_bill_ms"] = Json::Int64{
        std::chrono::duration_cast<std::chrono::milliseconds>(shared_.bill_table_.oldest_age(now)).count()};
    value["routers"] = Json::UInt64{shared_.routers_.size()};
    const auto& counters = shared_.rpc_.counters();
    value["control_calls"] = Json::UInt64{counters.calls_};
    value["control_bytes_sent"] = Json::UInt64{counters.sent_bytes_};
    value["control_bytes_received"] = Json::UInt64{counters.received_bytes_};
    return value;
}

auto administration_service::changes() const -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["items"] = Json::Value{Json::arrayValue};
    for (const auto& change : shared_.replica_.changes_after(state::generation{})) {
        auto item = codec::to_json(change);
        item["subject"] = coordination::configuration::change_subject(change.content_);
        value["items"].append(item);
    }
    return value;
}

auto administration_service::evidence() const -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["items"] = Json::Value{Json::arrayValue};
    for (const auto& [key, version] : shared_.replica_.current()->versions_) {
        const auto counts = shared_.version_guard_.total(key);
        auto item = Json::Value{Json::objectValue};
        item["version"] = key.text();
        item["good"] = Json::Int64{counts.good_};
        item["bad"] = Json::Int64{counts.bad_};
        value["items"].append(item);
    }
    return value;
}

auto administration_service::change(const administration_call& call, state::change_content content)
    -> http::awaitable<Json::Value>
{
    const auto id = call.change_id_.empty() ? std::to_string(shared_.random_.next()) : call.change_id_;
    auto request = edit_request{.id_ = state::change_id{id},
                                .author_ = call.operator_,
                                .based_on_ = read_based_on(call),
                                .content_ = std::move(content)};
    const auto accepted = co_await editor_.edit(std::move(request));
    auto value = Json::Value{Json::objectValue};
    value["accepted"] = Json::UInt64{accepted.value()};
    value["change_id"] = id;
    co_return value;
}

auto administration_service::act_on_version(const std::string& name, const std::string& action) const
    -> state::change_content
{
    const auto* known = shared_.replica_.current()->find_version(state::version_key_from_text(name));
    if (known == nullptr)
        throw error{error_kind::not_found, "There is no version " + name + ".",
                    "List the versions and check the name."};
    auto version = *known;
    if (action == "withdraw")
        version.state_ = state::version_state::withdrawn;
    else if (action == "drain")
        version.state_ = state::version_state::draining;
    else if (action == "serve")
        version.state_ = state::version_state::serving;
    else
        throw error{error_kind::invalid_request, "'" + action + "' is not an action on a version.",
                    "Use serve, drain or withdraw."};
    return version;
}

auto administration_service::act_on_roll_out(const std::string& model, const std::string& action,
                                             const std::string& query) const -> state::change_content
{
    const auto* known = shared_.replica_.current()->find_roll_out(state::model_name{model});
    if (known == nullptr)
        throw error{error_kind::not_found, "There is no roll-out of " + model + ".",
                    "List the roll-outs and check the name."};
    auto roll_out = *known;
    if (action == "pause")
        roll_out.state_ = state::roll_out_state::paused;
    else if (action == "resume")
        roll_out.state_ = state::roll_out_state::running;
    else if (action == "roll-back")
        roll_out.state_ = state::roll_out_state::halted;
    else if (action == "complete")
        roll_out.state_ = state::roll_out_state::complete;
    else if (action == "advance")
        roll_out.share_ = state::permille{static_cast<std::int32_t>(http::query_number(query, "share", 0))};
    else
        throw error{error_kind::invalid_request, "'" + action + "' is not an action on a roll-out.",
                    "Use pause, resume, advance, complete or roll-back."};
    return roll_out;
}

} // namespace buckthorndale::services::agent

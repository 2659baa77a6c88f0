#include "protocol/codec/configuration_codec.hpp"

#include "protocol/codec/enumerations.hpp"
#include "protocol/codec/wall_time.hpp"
#include "state/error.hpp"

#include <limits>

namespace buckthorndale::protocol::codec {

namespace {

using json::object_reader;

constexpr auto max_amount = std::numeric_limits<std::int64_t>::max() / 1'000'000;
constexpr auto max_permille = std::int64_t{1000};
constexpr auto max_weight = std::int64_t{1000};
constexpr auto max_deadline_ms = std::int64_t{3'600'000};
constexpr auto max_roll_out_step_ms = std::int64_t{604'800'000};

auto read_permille(object_reader& reader, std::string_view field, std::int64_t fallback) -> state::permille
{
    return state::permille{static_cast<std::int32_t>(reader.integer_or(field, 0, max_permille, fallback))};
}

auto to_milliseconds(state::duration time) -> Json::Int64
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

template <typename Items>
auto texts_to_json(const Items& items) -> Json::Value
{
    auto array = Json::Value{Json::arrayValue};
    for (const auto& item : items)
        array.append(item.text());
    return array;
}

template <typename Map>
auto values_to_json(const Map& map) -> Json::Value
{
    auto array = Json::Value{Json::arrayValue};
    for (const auto& [key, value] : map)
        array.append(codec::to_json(value));
    return array;
}

auto removal_to_json(const state::removal& removal) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    if (const auto* version = std::get_if<state::version_key>(&removal.subject_))
        value["version"] = version->text();
    if (const auto* profile = std::get_if<state::profile_name>(&removal.subject_))
        value["profile"] = profile->text();
    if (const auto* workspace = std::get_if<state::workspace_id>(&removal.subject_))
        value["workspace"] = workspace->text();
    if (const auto* model = std::get_if<state::model_name>(&removal.subject_))
        value["roll_out"] = model->text();
    return value;
}

auto read_removal(object_reader reader) -> state::removal
{
    auto removal = state::removal{};
    if (reader.has("version"))
        removal.subject_ = state::version_key_from_text(reader.text("version"));
    else if (reader.has("profile"))
        removal.subject_ = state::profile_name{reader.text("profile")};
    else if (reader.has("workspace"))
        removal.subject_ = state::workspace_id{reader.text("workspace")};
    else
        removal.subject_ = state::model_name{reader.text("roll_out")};
    reader.finish();
    return removal;
}

/// Adds the content of a change under the field name of its kind.
struct content_writer {
    Json::Value& target_;

    auto operator()(const state::version_settings& version) const -> void
    {
        target_["version"] = codec::to_json(version);
    }

    auto operator()(const state::profile& profile) const -> void
    {
        target_["profile"] = codec::to_json(profile);
    }

    auto operator()(const state::workspace& workspace) const -> void
    {
        target_["workspace"] = codec::to_json(workspace);
    }

    auto operator()(const state::roll_out& roll_out) const -> void
    {
        target_["roll_out"] = codec::to_json(roll_out);
    }

    auto operator()(const state::removal& removal) const -> void
    {
        target_["removal"] = removal_to_json(removal);
    }
};

auto read_content(object_reader& reader) -> state::change_content
{
    if (reader.has("version"))
        return read_version(reader.child("version"));
    if (reader.has("profile"))
        return read_profile(reader.child("profile"));
    if (reader.has("workspace"))
        return read_workspace(reader.child("workspace"));
    if (reader.has("roll_out"))
        return read_roll_out(reader.child("roll_out"));
    return read_removal(reader.child("removal"));
}

} // namespace

auto to_json(const state::version_settings& version) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["model"] = version.key_.model_.text();
    value["version"] = version.key_.version_.text();
    value["state"] = std::string{to_text(version.state_)};
    value["price_per_thousand_tokens"] = Json::Int64{version.price_per_thousand_tokens_.value()};
    value["expected_quality"] = version.expected_quality_.value();
    return value;
}

auto read_version(object_reader reader) -> state::version_settings
{
    auto version = state::version_settings{};
    version.key_.model_ = state::model_name{reader.text("model")};
    version.key_.version_ = state::version_name{reader.text("version")};
    version.state_ = version_state_from_text(reader.text_or("state", "serving"));
    version.price_per_thousand_tokens_ =
        state::micro_credits{reader.integer("price_per_thousand_tokens", 0, max_amount)};
    version.expected_quality_ = read_permille(reader, "expected_quality", max_permille / 2);
    reader.finish();
    return version;
}

auto to_json(const state::profile& profile) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["name"] = profile.name_.text();
    value["versions"] = texts_to_json(profile.versions_);
    value["quality_target"] = profile.quality_target_.value();
    value["cost_limit"] = Json::Int64{profile.cost_limit_.value()};
    value["deadline_ms"] = to_milliseconds(profile.deadline_);
    value["emphasis"] = std::string{to_text(profile.emphasis_)};
    return value;
}

auto read_profile(object_reader reader) -> state::profile
{
    auto profile = state::profile{};
    profile.name_ = state::profile_name{reader.text("name")};
    for (const auto& text : reader.texts("versions"))
        profile.versions_.push_back(state::version_key_from_text(text));
    profile.quality_target_ = read_permille(reader, "quality_target", 0);
    profile.cost_limit_ = state::micro_credits{reader.integer_or("cost_limit", 0, max_amount, 0)};
    profile.deadline_ = reader.milliseconds_or("deadline_ms", 1, max_deadline_ms, profile.deadline_);
    profile.emphasis_ = emphasis_from_text(reader.text_or("emphasis", "exposure"));
    reader.finish();
    return profile;
}

auto to_json(const state::workspace& workspace) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["id"] = workspace.id_.text();
    value["key_hash"] = workspace.key_hash_;
    value["profiles"] = texts_to_json(workspace.profiles_);
    value["services"] = texts_to_json(workspace.services_);
    value["weight"] = workspace.weight_;
    return value;
}

auto read_workspace(object_reader reader) -> state::workspace
{
    auto workspace = state::workspace{};
    workspace.id_ = state::workspace_id{reader.text("id")};
    workspace.key_hash_ = reader.text("key_hash");
    for (const auto& text : reader.texts("profiles"))
        workspace.profiles_.emplace_back(text);
    for (const auto& text : reader.texts("services"))
        workspace.services_.emplace_back(text);
    workspace.weight_ = static_cast<std::int32_t>(reader.integer_or("weight", 1, max_weight, 1));
    reader.finish();
    return workspace;
}

auto to_json(const state::roll_out& roll_out) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["model"] = roll_out.model_.text();
    value["from"] = roll_out.from_.text();
    value["to"] = roll_out.to_.text();
    value["share"] = roll_out.share_.value();
    value["state"] = std::string{to_text(roll_out.state_)};
    value["automatic"] = roll_out.is_automatic_;
    value["step_ms"] = to_milliseconds(roll_out.min_step_duration_);
    return value;
}

auto read_roll_out(object_reader reader) -> state::roll_out
{
    auto roll_out = state::roll_out{};
    roll_out.model_ = state::model_name{reader.text("model")};
    roll_out.from_ = state::version_name{reader.text("from")};
    roll_out.to_ = state::version_name{reader.text("to")};
    roll_out.share_ = read_permille(reader, "share", 0);
    roll_out.state_ = roll_out_state_from_text(reader.text_or("state", "running"));
    roll_out.is_automatic_ = reader.boolean_or("automatic", false);
    roll_out.min_step_duration_ =
        reader.milliseconds_or("step_ms", 1, max_roll_out_step_ms, roll_out.min_step_duration_);
    reader.finish();
    return roll_out;
}

auto to_json(const state::configuration_change& change) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["generation"] = Json::UInt64{change.generation_.value()};
    value["id"] = change.id_.text();
    value["author"] = change.author_;
    value["made_at"] = to_text(change.made_at_);
    value["previous_chain"] = std::to_string(change.previous_chain_);
    std::visit(content_writer{value}, change.content_);
    return value;
}

auto read_change(object_reader reader) -> state::configuration_change
{
    auto change = state::configuration_change{};
    change.generation_ = state::generation{reader.number("generation")};
    change.id_ = state::change_id{reader.text("id")};
    change.author_ = reader.text_or("author", "");
    change.made_at_ = wall_time_from_text(reader.text("made_at"));
    change.previous_chain_ = reader.number("previous_chain");
    change.content_ = read_content(reader);
    reader.finish();
    return change;
}

auto to_json(const state::configuration& configuration) -> Json::Value
{
    auto value = Json::Value{Json::objectValue};
    value["generation"] = Json::UInt64{configuration.generation_.value()};
    value["chain"] = std::to_string(configuration.chain_);
    value["versions"] = values_to_json(configuration.versions_);
    value["profiles"] = values_to_json(configuration.profiles_);
    value["workspaces"] = values_to_json(configuration.workspaces_);
    value["roll_outs"] = values_to_json(configuration.roll_outs_);
    return value;
}

auto read_configuration(object_reader reader) -> state::configuration
{
    auto configuration = state::configuration{};
    configuration.generation_ = state::generation{reader.number("generation")};
    configuration.chain_ = reader.number("chain");
    for (auto& child : reader.children("versions")) {
        auto version = read_version(child);
        configuration.versions_.emplace(version.key_, version);
    }
    for (auto& child : reader.children("profiles")) {
        auto profile = read_profile(child);
        configuration.profiles_.emplace(profile.name_, profile);
    }
    for (auto& child : reader.children("workspaces")) {
        auto workspace = read_workspace(child);
        configuration.workspaces_.emplace(workspace.id_, workspace);
    }
    for (auto& child : reader.children("roll_outs")) {
        auto roll_out = read_roll_out(child);
        configuration.roll_outs_.emplace(roll_out.model_, roll_out);
    }
    reader.finish();
    return configuration;
}

} // namespace buckthorndale::protocol::codec

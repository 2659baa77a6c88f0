#include "protocol/json/text.hpp"

#include "protocol/json/container_text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace buckthorndale::protocol::json {

namespace {

/// Deeper nesting is rejected, so that the recursive parser cannot overflow the stack.
constexpr auto max_nesting_depth = 64;

auto one_line(std::string text) -> std::string
{
    std::ranges::replace(text, '\n', ' ');
    return text;
}

auto strict_builder(int max_depth) -> Json::CharReaderBuilder
{
    auto settings = Json::CharReaderBuilder{};
    Json::CharReaderBuilder::strictMode(&settings.settings_);
    settings["strictRoot"] = false;
    settings["stackLimit"] = max_depth;
    return settings;
}

auto parse_with(const Json::CharReaderBuilder& builder, std::string_view text, state::error_kind kind)
    -> Json::Value
{
    const auto reader = std::unique_ptr<Json::CharReader>{builder.newCharReader()};
    auto value = Json::Value{};
    auto error_text = std::string{};
    auto is_parsed = false;
    // JsonCpp reports excessive nesting with an exception of its own type.
    try {
        is_parsed = reader->parse(text.data(), text.data() + text.size(), &value, &error_text);
    } catch (const std::exception& fault) {
        error_text = fault.what();
    }
    if (!is_parsed)
        throw state::error{kind, "The JSON is malformed: " + one_line(error_text) + ".",
                           "Correct the JSON syntax."};
    return value;
}

/// Where a part stands in its text.
struct part_place {
    std::string path_;
    int depth_{0};
    /// How many levels below it may be unreadable in part.
    int levels_{0};
    state::error_kind kind_{state::error_kind::invalid_request};

    auto member(const std::string& name) const -> part_place
    {
        return below(path_.empty() ? name : path_ + "." + name);
    }

    auto element(std::size_t index) const -> part_place
    {
        return below(path_ + "[" + std::to_string(index) + "]");
    }

private:
    auto below(std::string path) const -> part_place
    {
        return {.path_ = std::move(path), .depth_ = depth_ + 1, .levels_ = levels_ - 1, .kind_ = kind_};
    }
};

auto parse_part(std::string_view text, const part_place& place, std::vector<unreadable_part>& unreadable)
    -> std::optional<Json::Value>;

/// Parses the parts of a container one by one. Returns none for an object that names a member twice.
auto parse_container(const container_text& container, const part_place& place,
                     std::vector<unreadable_part>& unreadable) -> std::optional<Json::Value>
{
    auto value = Json::Value{container.is_array_ ? Json::arrayValue : Json::objectValue};
    for (auto index = std::size_t{0}; index < container.parts_.size(); ++index) {
        const auto& part = container.parts_[index];
        if (container.is_array_) {
            if (auto element = parse_part(part.value_, place.element(index), unreadable))
                value.append(std::move(*element));
            continue;
        }
        const auto name = parse(part.name_, place.kind_);
        if (!name.isString() || value.isMember(name.asString()))
            return std::nullopt;
        auto member = parse_part(part.value_, place.member(name.asString()), unreadable);
        value[name.asString()] = member ? std::move(*member) : Json::Value{};
    }
    return value;
}

auto parse_part(std::string_view text, const part_place& place, std::vector<unreadable_part>& unreadable)
    -> std::optional<Json::Value>
{
    auto reason = std::string{};
    try {
        return parse_with(strict_builder(max_nesting_depth - place.depth_), text, place.kind_);
    } catch (const state::error& fault) {
        reason = fault.what();
    }
    try {
        const auto container = place.levels_ > 0 ? split_container(text) : std::nullopt;
        if (container) {
            if (auto value = parse_container(*container, place, unreadable))
                return value;
        }
    } catch (const state::error& fault) {
        reason = fault.what();
    }
    unreadable.push_back({.path_ = place.path_, .reason_ = std::move(reason)});
    return std::nullopt;
}

} // namespace

auto to_text(const Json::Value& value) -> std::string
{
    static const auto builder = [] {
        auto settings = Json::StreamWriterBuilder{};
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
    }();
    return Json::writeString(builder, value);
}

auto to_indented_text(const Json::Value& value) -> std::string
{
    auto builder = Json::StreamWriterBuilder{};
    builder["indentation"] = "  ";
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value) + "\n";
}

auto parse(std::string_view text, state::error_kind kind) -> Json::Value
{
    static const auto builder = strict_builder(max_nesting_depth);
    return parse_with(builder, text, kind);
}

auto parse_readable_parts(std::string_view text, int levels, state::error_kind kind) -> partial_value
{
    auto result = partial_value{};
    auto root = parse_part(text, {.levels_ = levels, .kind_ = kind}, result.unreadable_);
    if (!root)
        throw state::error{kind, "The JSON is malformed: " + result.unreadable_.back().reason_ + ".",
                           "Correct the JSON syntax."};
    result.value_ = std::move(*root);
    return result;
}

auto parse_settings(std::string_view text) -> Json::Value
{
    auto builder = Json::CharReaderBuilder{};
    builder["allowComments"] = true;
    builder["allowTrailingCommas"] = true;
    builder["rejectDupKeys"] = true;
    builder["failIfExtra"] = true;
    builder["stackLimit"] = max_nesting_depth;
    return parse_with(builder, text, state::error_kind::invalid_settings);
}

} // namespace buckthorndale::protocol::json

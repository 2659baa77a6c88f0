#include "protocol/json/text.hpp"

#include <json/reader.h>
#include <json/writer.h>

#include <algorithm>
#include <exception>
#include <memory>

namespace buckthorndale::protocol::json {

namespace {

/// Deeper nesting is rejected, so that the recursive parser cannot overflow the stack.
constexpr auto max_nesting_depth = 64;

auto one_line(std::string text) -> std::string
{
    std::ranges::replace(text, '\n', ' ');
    return text;
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
    static const auto builder = [] {
        auto settings = Json::CharReaderBuilder{};
        Json::CharReaderBuilder::strictMode(&settings.settings_);
        settings["strictRoot"] = false;
        settings["stackLimit"] = max_nesting_depth;
        return settings;
    }();
    return parse_with(builder, text, kind);
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

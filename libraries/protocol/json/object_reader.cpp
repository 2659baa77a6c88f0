#include "protocol/json/object_reader.hpp"
#include "state/number_from_text.hpp"

#include <utility>

namespace buckthorndale::protocol::json {

using state::error;

object_reader::object_reader(const Json::Value& value, std::string path, state::error_kind kind)
    : value_{&value}, path_{std::move(path)}, kind_{kind}
{
    if (!value.isObject())
        throw error{kind_, "'" + path_ + "' is not an object.", "Write it as { ... }."};
}

auto object_reader::has(std::string_view field) const -> bool
{
    return value_->isMember(std::string{field});
}

auto object_reader::text(std::string_view field) -> std::string
{
    auto value = checked_text(field, required(field));
    if (value.empty())
        throw_field_error(field, "is empty", "Give it a non-empty string.");
    return value;
}

auto object_reader::text_or(std::string_view field, std::string fallback) -> std::string
{
    const auto& value = raw(field);
    return value.isNull() ? std::move(fallback) : checked_text(field, value);
}

auto object_reader::integer(std::string_view field, std::int64_t minimum, std::int64_t maximum)
    -> std::int64_t
{
    return checked_integer(field, required(field), minimum, maximum);
}

auto object_reader::integer_or(std::string_view field, std::int64_t minimum, std::int64_t maximum,
                               std::int64_t fallback) -> std::int64_t
{
    const auto& value = raw(field);
    return value.isNull() ? fallback : checked_integer(field, value, minimum, maximum);
}

auto object_reader::number(std::string_view field) -> std::uint64_t
{
    return checked_number(field, required(field));
}

auto object_reader::numbers(std::string_view field) -> std::vector<std::uint64_t>
{
    const auto& array = raw(field);
    auto found = std::vector<std::uint64_t>{};
    if (array.isNull())
        return found;
    if (!array.isArray())
        throw_field_error(field, "is not an array", "Write it as [ ... ].");
    for (const auto& item : array)
        found.push_back(checked_number(field, item));
    return found;
}

auto object_reader::boolean_or(std::string_view field, bool fallback) -> bool
{
    const auto& value = raw(field);
    if (value.isNull())
        return fallback;
    if (!value.isBool())
        throw_field_error(field, "is not a boolean", "Use true or false.");
    return value.asBool();
}

auto object_reader::milliseconds_or(std::string_view field, std::int64_t minimum, std::int64_t maximum,
                                    state::duration fallback) -> state::duration
{
    const auto default_count = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    return std::chrono::milliseconds{integer_or(field, minimum, maximum, default_count)};
}

auto object_reader::child(std::string_view field) -> object_reader
{
    return object_reader{required(field), path_of(field), kind_};
}

auto object_reader::children(std::string_view field) -> std::vector<object_reader>
{
    const auto& array = raw(field);
    auto found = std::vector<object_reader>{};
    if (array.isNull())
        return found;
    if (!array.isArray())
        throw_field_error(field, "is not an array", "Write it as [ ... ].");
    for (auto index = Json::ArrayIndex{0}; index < array.size(); ++index)
        found.emplace_back(array[index], path_of(field) + "[" + std::to_string(index) + "]", kind_);
    return found;
}

auto object_reader::texts(std::string_view field) -> std::vector<std::string>
{
    const auto& array = raw(field);
    auto found = std::vector<std::string>{};
    if (array.isNull())
        return found;
    if (!array.isArray())
        throw_field_error(field, "is not an array", "Write it as [ \"...\" ].");
    for (const auto& item : array)
        found.push_back(checked_text(field, item));
    return found;
}

auto object_reader::raw(std::string_view field) -> const Json::Value&
{
    const auto name = std::string{field};
    read_fields_.insert(name);
    return std::as_const(*value_)[name];
}

auto object_reader::finish() const -> void
{
    for (const auto& name : value_->getMemberNames()) {
        if (!read_fields_.contains(name))
            throw_field_error(name, "is not known", "Remove it or correct its name.");
    }
}

auto object_reader::path_of(std::string_view field) const -> std::string
{
    return path_.empty() ? std::string{field} : path_ + "." + std::string{field};
}

auto object_reader::required(std::string_view field) -> const Json::Value&
{
    const auto& value = raw(field);
    if (value.isNull())
        throw_field_error(field, "is missing", "Add it.");
    return value;
}

auto object_reader::throw_field_error(std::string_view field, const std::string& found,
                                      const std::string& remedy) const -> void
{
    throw error{kind_, "'" + path_of(field) + "' " + found + ".", remedy};
}

auto object_reader::checked_text(std::string_view field, const Json::Value& value) const -> std::string
{
    if (!value.isString())
        throw_field_error(field, "is not a string", "Write it in double quotes.");
    return value.asString();
}

auto object_reader::checked_number(std::string_view field, const Json::Value& value) const -> std::uint64_t
{
    if (value.isUInt64())
        return value.asUInt64();
    const auto result = state::number_from_text<std::uint64_t>(checked_text(field, value));
    if (!result)
        throw_field_error(field, "is not a number", "Give an integer of 0 or more.");
    return *result;
}

auto object_reader::checked_integer(std::string_view field, const Json::Value& value, std::int64_t minimum,
                                    std::int64_t maximum) const -> std::int64_t
{
    const auto range = std::to_string(minimum) + " to " + std::to_string(maximum);
    if (!value.isInt64())
        throw_field_error(field, "is not an integer", "Give a number from " + range + ".");
    const auto number = value.asInt64();
    if (number < minimum || number > maximum)
        throw_field_error(field, "is out of range", "Give a number from " + range + ".");
    return number;
}

} // namespace buckthorndale::protocol::json

#pragma once

#include "state/error.hpp"
#include "state/units.hpp"

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Reading and writing JSON text.
namespace buckthorndale::protocol::json {

/// Reads the fields of one JSON object and checks them. Every complaint names the field's path, what was
/// expected and how to mend it. Fields that nobody asked for are found by finish().
class object_reader {
public:
    /// Throws error of the given kind when the value is not an object.
    object_reader(const Json::Value& value, std::string path, state::error_kind kind);

    auto has(std::string_view field) const -> bool;

    /// A required text, not empty.
    auto text(std::string_view field) -> std::string;
    auto text_or(std::string_view field, std::string fallback) -> std::string;

    /// A required whole number within the range, both ends included.
    auto integer(std::string_view field, std::int64_t minimum, std::int64_t maximum) -> std::int64_t;
    auto integer_or(std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
        -> std::int64_t;

    /// A required number that fits 64 bits without a sign, written as text or as a number.
    auto number(std::string_view field) -> std::uint64_t;

    /// The numbers of an array, each as number() reads it; an absent array is empty.
    auto numbers(std::string_view field) -> std::vector<std::uint64_t>;

    auto boolean_or(std::string_view field, bool fallback) -> bool;

    /// A time in milliseconds, as a field with the suffix _ms.
    auto milliseconds_or(std::string_view field, std::int64_t minimum, std::int64_t maximum,
                         state::duration fallback) -> state::duration;

    /// A required object.
    auto child(std::string_view field) -> object_reader;

    /// The objects of an array; an absent array is empty.
    auto children(std::string_view field) -> std::vector<object_reader>;

    /// The texts of an array; an absent array is empty.
    auto texts(std::string_view field) -> std::vector<std::string>;

    /// The field as it stands, or null.
    auto raw(std::string_view field) -> const Json::Value&;

    /// Throws when the object has a field that was not asked for.
    auto finish() const -> void;

    auto path() const -> const std::string& { return path_; }

private:
    auto path_of(std::string_view field) const -> std::string;
    auto required(std::string_view field) -> const Json::Value&;
    [[noreturn]] auto throw_field_error(std::string_view field, const std::string& found,
                                        const std::string& remedy) const -> void;
    auto checked_text(std::string_view field, const Json::Value& value) const -> std::string;
    auto checked_number(std::string_view field, const Json::Value& value) const -> std::uint64_t;
    auto checked_integer(std::string_view field, const Json::Value& value, std::int64_t minimum,
                         std::int64_t maximum) const -> std::int64_t;

    const Json::Value* value_;
    std::string path_;
    state::error_kind kind_;
    std::set<std::string, std::less<>> read_fields_;
};

} // namespace buckthorndale::protocol::json

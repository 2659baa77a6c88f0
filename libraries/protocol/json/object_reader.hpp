#pragma once

#include "state/error.hpp"
#include "state/units.hpp"

#include <json/value.h>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Parsing and serialisation of JSON.
namespace buckthorndale::protocol::json {

/// Reads and validates the fields of one JSON object. Every error names the path of the field, the problem
/// and the remedy. finish() rejects fields that have not been read.
class object_reader {
public:
    /// Throws error of the given kind if the value is not an object. The value must outlive the reader.
    object_reader(const Json::Value& value, std::string path, state::error_kind kind);

    auto has(std::string_view field) const -> bool;

    /// A required, non-empty string.
    auto text(std::string_view field) -> std::string;
    auto text_or(std::string_view field, std::string fallback) -> std::string;

    /// A required integer within the inclusive range.
    auto integer(std::string_view field, std::int64_t minimum, std::int64_t maximum) -> std::int64_t;
    auto integer_or(std::string_view field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
        -> std::int64_t;

    /// A required unsigned 64-bit integer, written as a number or a string.
    auto number(std::string_view field) -> std::uint64_t;

    /// The elements of an array, each in the format of number(); a missing array is read as empty.
    auto numbers(std::string_view field) -> std::vector<std::uint64_t>;

    auto boolean_or(std::string_view field, bool fallback) -> bool;

    /// A duration in milliseconds; such fields have the suffix _ms.
    auto milliseconds_or(std::string_view field, std::int64_t minimum, std::int64_t maximum,
                         state::duration fallback) -> state::duration;

    /// A required object.
    auto child(std::string_view field) -> object_reader;

    /// The objects of an array; a missing array is read as empty.
    auto children(std::string_view field) -> std::vector<object_reader>;

    /// The strings of an array; a missing array is read as empty.
    auto texts(std::string_view field) -> std::vector<std::string>;

    /// The unvalidated value of the field, or null.
    auto raw(std::string_view field) -> const Json::Value&;

    /// Throws if the object has a field that has not been read.
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

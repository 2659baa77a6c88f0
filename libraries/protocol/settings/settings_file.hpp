#pragma once

#include "protocol/json/object_reader.hpp"

#include <json/value.h>

#include <string>

/// Settings files: JSON with comments, fully validated at startup.
namespace buckthorndale::protocol::settings {

/// A parsed settings file. Owns the JSON value that its reader refers to.
class settings_file {
public:
    /// Throws error of kind invalid_settings if the file is missing or malformed.
    explicit settings_file(const std::string& path);

    auto reader() const -> json::object_reader
    {
        return json::object_reader{value_, "", state::error_kind::invalid_settings};
    }

private:
    Json::Value value_;
};

} // namespace buckthorndale::protocol::settings

#pragma once

#include "protocol/json/object_reader.hpp"

#include <string>

namespace buckthorndale::protocol::settings {

/// Where a program logs and how much.
struct log_settings {
    /// One of trace, debug, info, warn, error.
    std::string level_{"info"};
    /// A file's path; empty logs to standard output.
    std::string file_;
};

auto read_log_settings(json::object_reader reader) -> log_settings;

} // namespace buckthorndale::protocol::settings

#pragma once

#include "protocol/json/object_reader.hpp"

#include <string>

namespace buckthorndale::protocol::settings {

/// The log level and destination of a program.
struct log_settings {
    /// One of trace, debug, info, warn, error.
    std::string level_{"info"};
    /// The path of the log file; if empty, the log goes to standard output.
    std::string file_;
};

auto read_log_settings(json::object_reader reader) -> log_settings;

} // namespace buckthorndale::protocol::settings

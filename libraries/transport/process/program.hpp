#pragma once

#include <functional>
#include <string>

namespace buckthorndale::transport::process {

/// The command-line arguments of a service.
struct command_line {
    std::string settings_path_;
    /// Check the settings and exit.
    bool is_check_{false};
};

/// Parses the command line of a service (--settings, --check, --help, --version) and calls `run`.
/// Returns the exit code: 0 for success, 2 for invalid settings or arguments, 1 for other errors.
auto run_service(int argument_count, char** arguments, const std::string& description,
                 const std::function<void(const command_line&)>& run) -> int;

/// The version of the release.
auto release_version() -> std::string;

} // namespace buckthorndale::transport::process

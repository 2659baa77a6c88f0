#pragma once

#include "protocol/settings/log_settings.hpp"

#include <memory>
#include <string>

/// Logging through log4cxx.
namespace buckthorndale::transport::logging {

/// Configures the process's log: one line per event, with time, level and the component's prefix.
auto set_up(const protocol::settings::log_settings& settings) -> void;

/// Writes log lines of one component, with its prefix.
class logger {
public:
    explicit logger(const std::string& prefix);
    ~logger();

    logger(const logger&) = delete;
    auto operator=(const logger&) -> logger& = delete;

    auto debug(const std::string& line) const -> void;
    auto info(const std::string& line) const -> void;
    auto warn(const std::string& line) const -> void;
    auto error(const std::string& line) const -> void;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace buckthorndale::transport::logging

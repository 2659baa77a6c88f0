#include "transport/logging/logger.hpp"

#include "transport/logging/log_text.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace buckthorndale::transport::logging {

namespace {

constexpr auto line_pattern = "%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c: %m%n";

/// Maximum number of buffered log lines. When the reader of the output stalls, further lines are counted and
/// dropped.
constexpr auto max_buffered_lines = 4096;

/// Writes on a background thread, so that a slow reader of the output never blocks the program.
auto make_async_appender(const log4cxx::AppenderPtr& output) -> log4cxx::AppenderPtr
{
    auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->setBufferSize(max_buffered_lines);
    appender->setBlocking(false);
    appender->addAppender(output);
    return appender;
}

} // namespace

struct logger::implementation {
    log4cxx::LoggerPtr logger_;
};

auto set_up(const protocol::settings::log_settings& settings) -> void
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(line_pattern);
    auto appender = log4cxx::AppenderPtr{};
    if (settings.file_.empty())
        appender = make_async_appender(
            std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut()));
    else
        appender = std::make_shared<log4cxx::FileAppender>(layout, settings.file_, true);
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(settings.level_));
}

logger::logger(const std::string& prefix)
    : implementation_{std::make_unique<implementation>(implementation{log4cxx::Logger::getLogger(prefix)})}
{}

logger::~logger() = default;

auto logger::debug(const std::string& line) const -> void
{
    LOG4CXX_DEBUG(implementation_->logger_, line_text(line)); // NOLINT: the library's macro
}

auto logger::info(const std::string& line) const -> void
{
    LOG4CXX_INFO(implementation_->logger_, line_text(line)); // NOLINT: the library's macro
}

auto logger::warn(const std::string& line) const -> void
{
    LOG4CXX_WARN(implementation_->logger_, line_text(line)); // NOLINT: the library's macro
}

auto logger::error(const std::string& line) const -> void
{
    LOG4CXX_ERROR(implementation_->logger_, line_text(line)); // NOLINT: the library's macro
}

} // namespace buckthorndale::transport::logging

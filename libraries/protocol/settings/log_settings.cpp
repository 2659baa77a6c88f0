#include "protocol/settings/log_settings.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace buckthorndale::protocol::settings {

auto read_log_settings(json::object_reader reader) -> log_settings
{
    constexpr auto levels = std::array<std::string_view, 5>{"trace", "debug", "info", "warn", "error"};
    auto settings = log_settings{};
    settings.level_ = reader.text_or("level", settings.level_);
    settings.file_ = reader.text_or("file", "");
    if (std::ranges::find(levels, settings.level_) == levels.end())
        throw state::error{state::error_kind::invalid_settings,
                           "'" + reader.path() + ".level' is not a log level.",
                           "Use trace, debug, info, warn or error."};
    reader.finish();
    return settings;
}

} // namespace buckthorndale::protocol::settings

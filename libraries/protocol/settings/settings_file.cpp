#include "protocol/settings/settings_file.hpp"

#include "protocol/json/text.hpp"

#include <fstream>
#include <sstream>

namespace buckthorndale::protocol::settings {

settings_file::settings_file(const std::string& path)
{
    auto file = std::ifstream{path};
    if (!file)
        throw state::error{state::error_kind::invalid_settings,
                           "The settings file '" + path + "' cannot be read.",
                           "Check its path and its permissions."};
    auto text = std::ostringstream{};
    text << file.rdbuf();
    value_ = json::parse_settings(text.str());
}

} // namespace buckthorndale::protocol::settings

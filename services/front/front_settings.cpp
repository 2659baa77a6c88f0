#include "front/front_settings.hpp"

#include "protocol/settings/settings_file.hpp"

namespace buckthorndale::services::front {

namespace {

auto address(protocol::json::object_reader& reader, std::string_view field) -> state::network_address
{
    return state::network_address_from_text(reader.text(field));
}

/// The platform writes some of its figures with fractions.
auto decimal_or(protocol::json::object_reader& reader, std::string_view field, double fallback) -> double
{
    const auto& value = reader.raw(field);
    return value.isNumeric() ? value.asDouble() : fallback;
}

} // namespace

auto read_front_settings(const std::string& path) -> front_settings
{
    constexpr auto highest_port = 65'535;
    constexpr auto longest_seconds = 3600;
    constexpr auto default_session_seconds = 5.0;
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = front_settings{};
    settings.instance_ = state::instance_id{reader.text("instance")};
    settings.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    settings.callers_ = address(reader, "callers");
    settings.probes_ = address(reader, "probes");
    settings.control_ = address(reader, "control");
    settings.peer_port_ = static_cast<std::uint16_t>(reader.integer("first_peer_port", 1, highest_port));
    for (const auto& seed : reader.texts("seeds"))
        settings.seeds_.push_back(state::network_address_from_text(seed));
    settings.store_ = address(reader, "store");
    settings.link_mbps_ = static_cast<std::int64_t>(decimal_or(reader, "link_mbps", 0));
    settings.stop_limit_ = std::chrono::seconds{reader.integer_or("stop_limit_s", 1, longest_seconds, 8)};
    settings.session_lifetime_ = std::chrono::milliseconds{static_cast<std::int64_t>(
        decimal_or(reader, "session_lifetime_s", default_session_seconds) * 1000.0)};
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::front

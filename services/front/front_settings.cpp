#include "front/front_settings.hpp"

#include "protocol/settings/settings_file.hpp"

namespace buckthorndale::services::front {

namespace {

auto read_address(protocol::json::object_reader& reader, std::string_view field) -> state::network_address
{
    return state::network_address_from_text(reader.text(field));
}

/// The platform writes some numbers with a fraction.
auto decimal_or(protocol::json::object_reader& reader, std::string_view field, double fallback) -> double
{
    const auto& value = reader.raw(field);
    return value.isNumeric() ? value.asDouble() : fallback;
}

} // namespace

auto read_front_settings(const std::string& path) -> front_settings
{
    constexpr auto max_port = 65'535;
    constexpr auto max_stop_seconds = 3600;
    constexpr auto default_session_seconds = 5.0;
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = front_settings{};
    settings.instance_ = state::instance_id{reader.text("instance")};
    settings.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    settings.caller_address_ = read_address(reader, "callers");
    settings.probe_address_ = read_address(reader, "probes");
    settings.control_address_ = read_address(reader, "control");
    settings.peer_port_ = static_cast<std::uint16_t>(reader.integer("first_peer_port", 1, max_port));
    for (const auto& seed : reader.texts("seeds"))
        settings.seeds_.push_back(state::network_address_from_text(seed));
    settings.store_address_ = read_address(reader, "store");
    settings.link_mbps_ = static_cast<std::int64_t>(decimal_or(reader, "link_mbps", 0));
    settings.stop_timeout_ = std::chrono::seconds{reader.integer_or("stop_limit_s", 1, max_stop_seconds, 8)};
    settings.session_lifetime_ = std::chrono::milliseconds{static_cast<std::int64_t>(
        decimal_or(reader, "session_lifetime_s", default_session_seconds) * 1000.0)};
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::front

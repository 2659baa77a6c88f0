#include "front/front_settings.hpp"

#include "protocol/settings/settings_file.hpp"

#include <algorithm>

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

/// In whole or fractional milliseconds, from 100 ms to one hour.
auto delay_or(protocol::json::object_reader& reader, std::string_view field, state::duration fallback)
    -> state::duration
{
    constexpr auto min_milliseconds = 100.0;
    constexpr auto max_milliseconds = 3'600'000.0;
    using milliseconds = std::chrono::duration<double, std::milli>;
    const auto value = decimal_or(reader, field, milliseconds{fallback}.count());
    if (value < min_milliseconds || value > max_milliseconds)
        throw state::error{state::error_kind::invalid_settings,
                           std::string{field} + " is not in the allowed range.",
                           "Set it to 100 to 3600000 milliseconds."};
    return std::chrono::duration_cast<state::duration>(milliseconds{value});
}

} // namespace

auto relay_address(const front_settings& settings) -> state::network_address
{
    return {.host_ = settings.control_address_.host_, .port_ = settings.peer_port_};
}

auto caller_memory_bytes(const front_settings& settings) -> std::size_t
{
    constexpr auto bytes_per_mb = std::size_t{1'048'576};
    constexpr auto most_bytes = std::size_t{80} * bytes_per_mb;
    // Two accounts of this size leave three tenths to the process itself.
    constexpr auto twentieths = std::size_t{7};
    const auto memory = static_cast<std::size_t>(settings.memory_mb_) * bytes_per_mb;
    return std::min(memory / 20 * twentieths, most_bytes);
}

auto read_front_settings(const std::string& path) -> front_settings
{
    constexpr auto max_port = 65'535;
    constexpr auto max_stop_seconds = 3600;
    constexpr auto min_memory_mb = 16;
    constexpr auto max_memory_mb = 65'536;
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
    settings.configuration_delay_ = delay_or(reader, "configuration_delay_ms", settings.configuration_delay_);
    settings.endpoints_delay_ = delay_or(reader, "endpoints_delay_ms", settings.endpoints_delay_);
    settings.roll_outs_delay_ = delay_or(reader, "roll_outs_delay_ms", settings.roll_outs_delay_);
    if (reader.has("emptying_delay_ms"))
        settings.emptying_delay_ = delay_or(reader, "emptying_delay_ms", settings.endpoints_delay_);
    settings.shares_by_workspace_ = reader.boolean_or("shares_by_workspace", false);
    settings.learns_capacity_ = reader.boolean_or("learns_capacity", false);
    settings.memory_mb_ = static_cast<std::int64_t>(
        decimal_or(reader, "memory_mb", static_cast<double>(front_settings::default_memory_mb)));
    if (settings.memory_mb_ < min_memory_mb || settings.memory_mb_ > max_memory_mb)
        throw state::error{state::error_kind::invalid_settings, "memory_mb is not in the allowed range.",
                           "Set it to 16 to 65536 MiB."};
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::front

#include "router/router_settings.hpp"

#include "protocol/settings/settings_file.hpp"
#include "transport/http/types.hpp"

namespace buckthorndale::services::router {

namespace {

using protocol::json::object_reader;

constexpr auto longest_ms = std::int64_t{3'600'000};
constexpr auto most_requests = std::int64_t{100'000};
constexpr auto most_runs = std::int64_t{20};
constexpr auto least_bytes = std::int64_t{1024};
constexpr auto most_bytes = std::int64_t{67'108'864};

auto read_address(object_reader& reader, std::string_view field) -> state::network_address
{
    auto address = state::network_address_from_text(reader.text(field));
    transport::http::to_socket_address(address);
    return address;
}

auto read_size(object_reader& reader, std::string_view field, std::size_t fallback) -> std::size_t
{
    return static_cast<std::size_t>(
        reader.integer_or(field, least_bytes, most_bytes, static_cast<std::int64_t>(fallback)));
}

auto read_callers(object_reader reader) -> transport::http::server_settings
{
    auto settings = transport::http::server_settings{};
    settings.address_ = read_address(reader, "address");
    settings.max_header_bytes_ = read_size(reader, "largest_header_bytes", settings.max_header_bytes_);
    settings.max_body_bytes_ = read_size(reader, "largest_body_bytes", settings.max_body_bytes_);
    settings.max_connections_ = static_cast<std::size_t>(reader.integer_or(
        "most_connections", 1, most_requests, static_cast<std::int64_t>(settings.max_connections_)));
    settings.request_timeout_ =
        reader.milliseconds_or("request_limit_ms", 1, longest_ms, settings.request_timeout_);
    settings.idle_timeout_ = reader.milliseconds_or("idle_limit_ms", 1, longest_ms, settings.idle_timeout_);
    settings.write_timeout_ =
        reader.milliseconds_or("write_limit_ms", 1, longest_ms, settings.write_timeout_);
    if (reader.has("tls"))
        settings.tls_ = transport::http::read_tls_settings(reader.child("tls"));
    reader.finish();
    return settings;
}

auto read_limits(object_reader reader) -> coordination::routing::engine_settings
{
    auto limits = coordination::routing::engine_settings{};
    limits.most_requests_ = static_cast<std::size_t>(reader.integer_or(
        "most_requests", 1, most_requests, static_cast<std::int64_t>(limits.most_requests_)));
    limits.longest_queue_ = static_cast<std::size_t>(reader.integer_or(
        "longest_queue", 1, most_requests, static_cast<std::int64_t>(limits.longest_queue_)));
    limits.most_runs_ = static_cast<int>(reader.integer_or("most_runs", 1, most_runs, limits.most_runs_));
    limits.longest_queue_wait_ =
        reader.milliseconds_or("longest_queue_wait_ms", 1, longest_ms, limits.longest_queue_wait_);
    limits.first_piece_limit_ =
        reader.milliseconds_or("first_piece_limit_ms", 1, longest_ms, limits.first_piece_limit_);
    limits.piece_limit_ = reader.milliseconds_or("piece_limit_ms", 1, longest_ms, limits.piece_limit_);
    limits.rating_limit_ = reader.milliseconds_or("rating_limit_ms", 1, longest_ms, limits.rating_limit_);
    reader.finish();
    return limits;
}

} // namespace

auto read_router_settings(const std::string& path) -> router_settings
{
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = router_settings{};
    settings.instance_ = state::instance_id{reader.text("instance")};
    settings.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    settings.callers_ = read_callers(reader.child("callers"));
    settings.control_ = read_address(reader, "control");
    settings.agent_ = read_address(reader, "agent");
    if (reader.has("rating"))
        settings.rating_ = read_address(reader, "rating");
    if (reader.has("limits"))
        settings.engine_ = read_limits(reader.child("limits"));
    settings.leave_delay_ = reader.milliseconds_or("leave_delay_ms", 0, longest_ms, settings.leave_delay_);
    settings.drain_limit_ = reader.milliseconds_or("drain_limit_ms", 0, longest_ms, settings.drain_limit_);
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::router

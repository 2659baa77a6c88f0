#include "router/router_settings.hpp"

#include "protocol/settings/settings_file.hpp"
#include "transport/http/types.hpp"

namespace buckthorndale::services::router {

namespace {

using protocol::json::object_reader;

constexpr auto max_ms = std::int64_t{3'600'000};
constexpr auto max_requests = std::int64_t{100'000};
constexpr auto max_runs = std::int64_t{20};
constexpr auto min_bytes = std::int64_t{1024};
constexpr auto max_bytes = std::int64_t{67'108'864};
constexpr auto min_memory_bytes = std::int64_t{1'048'576};
constexpr auto max_memory_bytes = std::int64_t{68'719'476'736};

auto read_address(object_reader& reader, std::string_view field) -> state::network_address
{
    auto address = state::network_address_from_text(reader.text(field));
    transport::http::to_socket_address(address);
    return address;
}

auto read_size(object_reader& reader, std::string_view field, std::size_t fallback) -> std::size_t
{
    return static_cast<std::size_t>(
        reader.integer_or(field, min_bytes, max_bytes, static_cast<std::int64_t>(fallback)));
}

auto read_callers(object_reader reader) -> transport::http::server_settings
{
    auto settings = transport::http::server_settings{};
    settings.address_ = read_address(reader, "address");
    settings.max_header_bytes_ = read_size(reader, "largest_header_bytes", settings.max_header_bytes_);
    settings.max_body_bytes_ = read_size(reader, "largest_body_bytes", settings.max_body_bytes_);
    settings.max_connections_ = static_cast<std::size_t>(reader.integer_or(
        "most_connections", 1, max_requests, static_cast<std::int64_t>(settings.max_connections_)));
    settings.request_timeout_ =
        reader.milliseconds_or("request_limit_ms", 1, max_ms, settings.request_timeout_);
    settings.idle_timeout_ = reader.milliseconds_or("idle_limit_ms", 1, max_ms, settings.idle_timeout_);
    settings.memory_ = std::make_shared<transport::http::caller_memory>(static_cast<std::size_t>(
        reader.integer_or("memory_bytes", min_memory_bytes, max_memory_bytes,
                          static_cast<std::int64_t>(transport::http::caller_memory::default_limit))));
    settings.write_timeout_ = reader.milliseconds_or("write_limit_ms", 1, max_ms, settings.write_timeout_);
    if (reader.has("tls"))
        settings.tls_ = transport::http::read_tls_settings(reader.child("tls"));
    reader.finish();
    return settings;
}

auto read_limits(object_reader reader) -> coordination::routing::engine_settings
{
    auto limits = coordination::routing::engine_settings{};
    limits.max_requests_ = static_cast<std::size_t>(
        reader.integer_or("most_requests", 1, max_requests, static_cast<std::int64_t>(limits.max_requests_)));
    limits.max_queue_length_ = static_cast<std::size_t>(reader.integer_or(
        "longest_queue", 1, max_requests, static_cast<std::int64_t>(limits.max_queue_length_)));
    limits.max_runs_ = static_cast<int>(reader.integer_or("most_runs", 1, max_runs, limits.max_runs_));
    limits.queue_timeout_ = reader.milliseconds_or("longest_queue_wait_ms", 1, max_ms, limits.queue_timeout_);
    limits.first_chunk_timeout_ =
        reader.milliseconds_or("first_piece_limit_ms", 1, max_ms, limits.first_chunk_timeout_);
    limits.chunk_timeout_ = reader.milliseconds_or("piece_limit_ms", 1, max_ms, limits.chunk_timeout_);
    limits.rating_timeout_ = reader.milliseconds_or("rating_limit_ms", 1, max_ms, limits.rating_timeout_);
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
    settings.leave_delay_ = reader.milliseconds_or("leave_delay_ms", 0, max_ms, settings.leave_delay_);
    settings.drain_timeout_ = reader.milliseconds_or("drain_limit_ms", 0, max_ms, settings.drain_timeout_);
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::router

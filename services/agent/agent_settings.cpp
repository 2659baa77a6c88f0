#include "agent/agent_settings.hpp"

#include "protocol/settings/settings_file.hpp"
#include "transport/http/types.hpp"

namespace buckthorndale::services::agent {

namespace {

using protocol::json::object_reader;

constexpr auto max_timeout_ms = std::int64_t{600'000};
constexpr auto sha256_hex_digits = std::size_t{64};

auto parse_address(const std::string& text) -> state::network_address
{
    auto address = state::network_address_from_text(text);
    transport::http::to_socket_address(address);
    return address;
}

auto read_operator(object_reader reader) -> operator_account
{
    auto account = operator_account{};
    account.name_ = reader.text("name");
    account.key_hash_ = reader.text("key_hash");
    if (account.key_hash_.size() != sha256_hex_digits)
        throw state::error{state::error_kind::invalid_settings,
                           "'" + reader.path() + ".key_hash' is not a SHA-256 hash.",
                           "Write 64 hexadecimal digits."};
    reader.finish();
    return account;
}

auto read_administration(object_reader reader, agent_settings& settings) -> void
{
    settings.administration_.address_ = parse_address(reader.text("address"));
    for (auto& child : reader.children("operators"))
        settings.operators_.push_back(read_operator(child));
    if (reader.has("tls"))
        settings.administration_.tls_ = transport::http::read_tls_settings(reader.child("tls"));
    reader.finish();
}

} // namespace

auto read_agent_settings(const std::string& path) -> agent_settings
{
    const auto file = protocol::settings::settings_file{path};
    auto reader = file.reader();
    auto settings = agent_settings{};
    settings.instance_ = state::instance_id{reader.text("instance")};
    settings.data_centre_ = state::data_centre_id{reader.text("data_centre")};
    settings.control_ = parse_address(reader.text("control"));
    settings.router_ = parse_address(reader.text("router"));
    read_administration(reader.child("administration"), settings);
    settings.platform_ = parse_address(reader.text("platform"));
    settings.platform_timeout_ =
        reader.milliseconds_or("platform_limit_ms", 1, max_timeout_ms, settings.platform_timeout_);
    for (const auto& text : reader.texts("seeds"))
        settings.seeds_.push_back(parse_address(text));
    if (reader.has("log"))
        settings.log_ = protocol::settings::read_log_settings(reader.child("log"));
    reader.finish();
    return settings;
}

} // namespace buckthorndale::services::agent

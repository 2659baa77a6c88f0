#include "transport/http/server_settings.hpp"

namespace buckthorndale::transport::http {

auto read_tls_settings(protocol::json::object_reader reader) -> tls_settings
{
    auto settings = tls_settings{};
    settings.certificate_file_ = reader.text("certificate_file");
    settings.key_file_ = reader.text("key_file");
    reader.finish();
    return settings;
}

} // namespace buckthorndale::transport::http

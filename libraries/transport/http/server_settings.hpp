#pragma once

#include "protocol/json/object_reader.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <string>

namespace buckthorndale::transport::http {

/// Certificate and key files for TLS; both empty switches TLS off.
struct tls_settings {
    std::string certificate_file_;
    std::string key_file_;

    auto is_on() const -> bool { return !certificate_file_.empty(); }
};

/// Reads the fields certificate_file and key_file.
auto read_tls_settings(protocol::json::object_reader reader) -> tls_settings;

/// Bounds of a server against slow, large and too many requests.
struct server_settings {
    state::network_address address_;
    std::size_t max_header_bytes_{16'384};
    std::size_t max_body_bytes_{4'194'304};
    std::size_t max_connections_{2000};
    /// Time for a request to arrive whole once its first byte came.
    state::duration request_timeout_{std::chrono::seconds{10}};
    /// Time that an idle connection is kept.
    state::duration idle_timeout_{std::chrono::seconds{75}};
    /// Time that one write may take; a caller that reads more slowly is dropped.
    state::duration write_timeout_{std::chrono::seconds{20}};
    /// Time and bytes for which the rest of a refused request is read and thrown away.
    state::duration discard_timeout_{std::chrono::seconds{2}};
    std::size_t max_discarded_bytes_{16'777'216};
    tls_settings tls_;
};

} // namespace buckthorndale::transport::http

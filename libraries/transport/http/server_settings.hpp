#pragma once

#include "protocol/json/object_reader.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/caller_memory.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace buckthorndale::transport::http {

/// Certificate and key files for TLS; TLS is off when they are empty.
struct tls_settings {
    std::string certificate_file_;
    std::string key_file_;

    auto is_on() const -> bool { return !certificate_file_.empty(); }
};

/// Reads the fields certificate_file and key_file.
auto read_tls_settings(protocol::json::object_reader reader) -> tls_settings;

/// Address of a server and its limits against slow clients, large requests and too many connections.
struct server_settings {
    state::network_address address_;
    std::size_t max_header_bytes_{16'384};
    std::size_t max_body_bytes_{4'194'304};
    std::size_t max_connections_{2000};
    /// Connections over the limit that are answered 503 at the same time; further ones are closed at once.
    std::size_t max_refusals_{200};
    /// How long reading the request of such a connection, answering it and discarding its rest may take each.
    state::duration refusal_timeout_{std::chrono::seconds{1}};
    /// Time from the first byte of a request until it is complete.
    state::duration request_timeout_{std::chrono::seconds{10}};
    /// How long an idle connection is kept open.
    state::duration idle_timeout_{std::chrono::seconds{75}};
    /// How long one write may take; the connection of a caller that reads more slowly is closed.
    state::duration write_timeout_{std::chrono::seconds{20}};
    /// Time and bytes for which the rest of a rejected request is read and discarded.
    state::duration discard_timeout_{std::chrono::seconds{2}};
    std::size_t max_discarded_bytes_{16'777'216};
    tls_settings tls_;
    /// The account of what callers make the process hold. Servers of the same thread may share one; never
    /// null.
    std::shared_ptr<caller_memory> memory_{std::make_shared<caller_memory>()};
};

} // namespace buckthorndale::transport::http

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

#include "state/network_address.hpp"

/// HTTP/1.1 over TCP, with and without TLS.
namespace buckthorndale::transport::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

using request = beast::http::request<beast::http::string_body>;
using response = beast::http::response<beast::http::string_body>;

template <typename Result>
using awaitable = asio::awaitable<Result>;

/// Converts to a socket address. Throws error of kind invalid_settings for a host name.
auto to_socket_address(const state::network_address& address) -> asio::ip::tcp::endpoint;

/// Makes a response with a body of the given media type.
auto make_response(unsigned status, std::string_view media_type, std::string body) -> response;

/// Serialises a message. Beast's own write operations are not used, because they take minutes to compile.
auto to_wire(const request& message) -> std::string;
auto to_wire(const response& message) -> std::string;

/// Serialises the status line and headers of a response as they are.
auto to_wire_head(const response& message) -> std::string;

/// Serialises the status line and headers of a response whose body follows in chunks.
auto to_wire_headers(response headers) -> std::string;

/// Serialises a chunk of a body. An empty chunk would end the body.
auto to_wire_chunk(std::string_view bytes) -> std::string;

/// The chunk that ends a body.
inline constexpr auto last_chunk = std::string_view{"0\r\n\r\n"};

/// The value of a header; empty when it is absent.
auto header_text(const request& message, std::string_view name) -> std::string;

} // namespace buckthorndale::transport::http

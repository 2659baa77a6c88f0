#include "transport/http/types.hpp"

#include "state/error.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <utility>

namespace buckthorndale::transport::http {

auto to_socket_address(const state::network_address& address) -> asio::ip::tcp::endpoint
{
    auto fault = boost::system::error_code{};
    const auto host = asio::ip::make_address(address.host_, fault);
    if (fault)
        throw state::error{state::error_kind::invalid_settings,
                           "'" + address.host_ + "' is not an IP address.",
                           "Use an IP address; host names are not resolved."};
    return {host, address.port_};
}

auto make_response(unsigned status, std::string_view media_type, std::string body) -> response
{
    auto answer = response{static_cast<beast::http::status>(status), 11};
    answer.set(beast::http::field::content_type, beast::string_view{media_type.data(), media_type.size()});
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

auto to_wire(const request& message) -> std::string
{
    auto text = std::ostringstream{};
    text << message;
    return std::move(text).str();
}

auto to_wire(const response& message) -> std::string
{
    auto text = std::ostringstream{};
    text << message;
    return std::move(text).str();
}

auto to_wire_head(const response& message) -> std::string
{
    auto text = std::ostringstream{};
    text << message.base();
    return std::move(text).str();
}

auto to_wire_headers(response headers) -> std::string
{
    headers.body().clear();
    headers.content_length(boost::none);
    headers.chunked(true);
    return to_wire_head(headers);
}

auto to_wire_chunk(std::string_view bytes) -> std::string
{
    auto text = std::ostringstream{};
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return std::move(text).str();
}

auto header_text(const request& message, std::string_view name) -> std::string
{
    const auto found = message.find(beast::string_view{name.data(), name.size()});
    return found == message.end() ? std::string{} : std::string{found->value()};
}

} // namespace buckthorndale::transport::http

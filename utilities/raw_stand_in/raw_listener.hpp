#pragma once

#include "raw_stand_in/raw_answer.hpp"
#include "state/network_address.hpp"
#include "transport/http/types.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::utilities::raw_stand_in {

/// Answers each request with the same bytes, also such as no server would send. Each connection carries one
/// request.
class raw_listener {
public:
    /// Listens at once. Throws boost::system::system_error when the address is taken.
    raw_listener(transport::http::asio::io_context& context, const state::network_address& address,
                 std::string echoed_header);

    auto start() -> void;

    /// Replaces the answer and counts arrivals from zero.
    auto set_answer(raw_answer answer) -> void;

    /// Requests with the echoed header that have arrived since the answer was set.
    auto arrivals() const -> std::uint64_t { return arrivals_; }

    /// Requests whose echoed header had this value, since the start.
    auto arrivals_of(const std::string& value) const -> std::uint64_t;

private:
    using socket = transport::http::asio::ip::tcp::socket;

    auto accept() -> transport::http::awaitable<void>;
    auto serve(socket connection) -> transport::http::awaitable<void>;
    auto end(socket& connection, const raw_answer& answer) -> transport::http::awaitable<void>;
    auto sleep(std::chrono::milliseconds time) -> transport::http::awaitable<void>;

    transport::http::asio::io_context& context_;
    transport::http::asio::ip::tcp::acceptor acceptor_;
    std::string echoed_header_;
    raw_answer answer_;
    std::uint64_t arrivals_{0};
    std::map<std::string, std::uint64_t> arrivals_by_value_;
};

} // namespace buckthorndale::utilities::raw_stand_in

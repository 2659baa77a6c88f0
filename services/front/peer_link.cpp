#include <utility>

#include "front/peer_link.hpp"

#include "state/error.hpp"
#include "transport/logging/failure_log.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <iterator>
#include <vector>

namespace buckthorndale::services::front {

namespace asio = transport::http::asio;

namespace {

/// The largest UDP payload over IPv4.
constexpr auto max_datagram_bytes = std::size_t{65'507};

auto other_seeds(const std::vector<state::network_address>& seeds, const state::network_address& own)
    -> std::set<state::network_address>
{
    auto others = std::set<state::network_address>{seeds.begin(), seeds.end()};
    others.erase(own);
    return others;
}

} // namespace

peer_link::peer_link(asio::io_context& context, const front_settings& settings, message_callback on_message)
    : own_address_{settings.control_address_}, port_{settings.peer_port_},
      seeds_{other_seeds(settings.seeds_, own_address_)}, peers_{seeds_}, on_message_{std::move(on_message)},
      socket_{context}
{
    const auto address = asio::ip::make_address(own_address_.host_);
    try {
        socket_.open(asio::ip::udp::v4());
        socket_.bind({address, port_});
        socket_.non_blocking(true);
    } catch (const boost::system::system_error& fault) {
        throw state::error{state::error_kind::invalid_settings,
                           "UDP port " + std::to_string(port_) + " cannot be opened: " + fault.what() + ".",
                           "Set first_peer_port to a free UDP port."};
    }
}

auto peer_link::start() -> void
{
    asio::co_spawn(socket_.get_executor(), receive(), transport::logging::failure_log{"peers", "receive"});
}

auto peer_link::set_peers(const std::vector<state::network_address>& peers) -> void
{
    peers_ = seeds_;
    peers_.insert(peers.begin(), peers.end());
    peers_.erase(own_address_);
}

auto peer_link::send_to_all(const protocol::peer::peer_message& message) -> void
{
    send({peers_.begin(), peers_.end()}, message);
}

auto peer_link::send(const std::vector<state::network_address>& peers,
                     const protocol::peer::peer_message& message) -> void
{
    if (peers.empty())
        return;
    const auto text = protocol::peer::to_text(message);
    for (const auto& peer : peers) {
        auto fault = boost::system::error_code{};
        const auto destination = asio::ip::udp::endpoint{asio::ip::make_address(peer.host_, fault), port_};
        if (!fault)
            socket_.send_to(asio::buffer(text), destination, 0, fault);
        // Datagrams may be lost anyway; the next report includes the contents of this one.
        if (fault)
            log_.debug("datagram not sent address=" + peer.text() + " reason=\"" + fault.message() + "\"");
    }
}

auto peer_link::random_peer(std::uint64_t random) const -> std::optional<state::network_address>
{
    if (peers_.empty())
        return std::nullopt;
    return *std::next(peers_.begin(), static_cast<std::ptrdiff_t>(random % peers_.size()));
}

auto peer_link::receive() -> transport::http::awaitable<void>
{
    auto buffer = std::vector<char>(max_datagram_bytes);
    while (true) {
        auto sender = asio::ip::udp::endpoint{};
        auto fault = boost::system::error_code{};
        const auto size = co_await socket_.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, fault));
        // The error of an earlier datagram that could not be delivered is reported here.
        if (fault)
            continue;
        try {
            on_message_(protocol::peer::peer_message_from_text({buffer.data(), size}));
        } catch (const state::error& caught) {
            log_.warn("datagram skipped from=" + sender.address().to_string() + " reason=\"" + caught.what() +
                      "\"");
        }
    }
}

} // namespace buckthorndale::services::front

#include "fault_proxy/proxied_route.hpp"

#include "state/error.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace buckthorndale::utilities::fault_proxy {

namespace asio = transport::http::asio;
using transport::http::awaitable;

namespace {

/// Longer than the way between data centres of one region, shorter than any timeout.
constexpr auto added_delay = state::duration{std::chrono::milliseconds{80}};
/// How often a connection that is held looks whether the fault has ended.
constexpr auto look_interval = state::duration{std::chrono::milliseconds{10}};
constexpr auto portion_size = std::size_t{16'384};

/// Closes a connection so that its peer sees a reset.
auto reset(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code{};
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

auto route_fault_from(std::string_view text) -> route_fault
{
    using enum route_fault;
    for (const auto& [name, fault] :
         {std::pair{"none", none}, std::pair{"delay", delay}, std::pair{"cut", cut},
          std::pair{"silence", silence}, std::pair{"reset", reset}, std::pair{"refuse", refuse},
          std::pair{"refuse_new", refuse_new}, std::pair{"accept_silent", accept_silent},
          std::pair{"accept_reset", accept_reset}}) {
        if (text == name)
            return fault;
    }
    throw state::error{state::error_kind::invalid_request, "There is no such fault.",
                       "Choose none, delay, cut, silence, reset, refuse, refuse_new, accept_silent or "
                       "accept_reset."};
}

proxied_route::proxied_route(asio::io_context& context, const state::network_address& listen,
                             state::network_address target)
    : context_{context}, acceptor_{context, transport::http::to_socket_address(listen)}, listen_{listen},
      target_{std::move(target)}
{}

auto proxied_route::start() -> void
{
    asio::co_spawn(context_, accept(), asio::detached);
}

auto proxied_route::set_fault(route_fault fault) -> void
{
    fault_ = fault;
    set_listening(fault != route_fault::refuse && fault != route_fault::refuse_new);
    for (const auto& item : connections_) {
        if (fault == route_fault::silence || fault == route_fault::accept_silent)
            item->is_silent_ = true;
    }
    if (fault == route_fault::reset || fault == route_fault::refuse || fault == route_fault::accept_reset)
        reset_connections();
}

auto proxied_route::set_target(const state::network_address& target) -> void
{
    target_ = target;
    reset_connections();
}

auto proxied_route::reset_connections() -> void
{
    for (const auto& item : connections_) {
        reset(item->caller_);
        reset(item->target_);
    }
}

auto proxied_route::set_listening(bool is_listening) -> void
{
    if (is_listening == acceptor_.is_open())
        return;
    if (!is_listening) {
        acceptor_.close();
        return;
    }
    acceptor_ = asio::ip::tcp::acceptor{context_, transport::http::to_socket_address(listen_)};
    start();
}

auto proxied_route::accept() -> awaitable<void>
{
    while (true) {
        auto fault = boost::system::error_code{};
        auto caller = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, fault));
        if (fault == asio::error::operation_aborted)
            co_return;
        if (fault)
            continue;
        auto item = std::make_shared<connection>(std::move(caller));
        asio::co_spawn(context_, serve(std::move(item)), asio::detached);
    }
}

auto proxied_route::serve(connection_pointer item) -> awaitable<void>
{
    if (fault_ == route_fault::accept_silent || fault_ == route_fault::accept_reset) {
        co_await hold(std::move(item));
        co_return;
    }
    auto fault = boost::system::error_code{};
    co_await item->target_.async_connect(transport::http::to_socket_address(target_),
                                         asio::redirect_error(asio::use_awaitable, fault));
    if (fault) {
        // The caller cannot be refused any more.
        reset(item->caller_);
        co_return;
    }
    connections_.insert(item);
    asio::co_spawn(context_, pass_on(item, false), asio::detached);
    asio::co_spawn(context_, pass_on(std::move(item), true), asio::detached);
}

auto proxied_route::hold(connection_pointer item) -> awaitable<void>
{
    auto portion = std::array<char, portion_size>{};
    auto fault = boost::system::error_code{};
    while (!fault && fault_ != route_fault::accept_reset)
        co_await item->caller_.async_read_some(asio::buffer(portion),
                                               asio::redirect_error(asio::use_awaitable, fault));
    if (!fault)
        co_await item->caller_.async_read_some(asio::buffer(portion),
                                               asio::redirect_error(asio::use_awaitable, fault));
    reset(item->caller_);
}

auto proxied_route::pass_on(connection_pointer item, bool is_answer) -> awaitable<void>
{
    auto& from = is_answer ? item->target_ : item->caller_;
    auto& to = is_answer ? item->caller_ : item->target_;
    auto portion = std::array<char, portion_size>{};
    auto fault = boost::system::error_code{};
    while (!fault) {
        const auto size = co_await from.async_read_some(asio::buffer(portion),
                                                        asio::redirect_error(asio::use_awaitable, fault));
        const auto has_left = fault && item->is_silent_;
        if (!has_left)
            co_await wait_while_held(*item, is_answer);
        if (fault)
            break;
        if (fault_ == route_fault::delay)
            co_await sleep(added_delay);
        co_await asio::async_write(to, asio::buffer(portion.data(), size),
                                   asio::redirect_error(asio::use_awaitable, fault));
    }
    // Whatever ended one direction ends the other one as well.
    connections_.erase(item);
    auto ignored = boost::system::error_code{};
    to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (fault != asio::error::eof || item->is_silent_) {
        item->caller_.close(ignored);
        item->target_.close(ignored);
    }
}

auto proxied_route::wait_while_held(const connection& item, bool is_answer) -> awaitable<void>
{
    while (item.caller_.is_open() && (item.is_silent_ || (is_answer && fault_ == route_fault::cut)))
        co_await sleep(look_interval);
}

auto proxied_route::sleep(state::duration time) -> awaitable<void>
{
    auto timer = asio::steady_timer{context_, time};
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace buckthorndale::utilities::fault_proxy

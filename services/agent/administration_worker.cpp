#include <utility>

#include "agent/administration_worker.hpp"

#include "state/error.hpp"
#include "transport/http/query.hpp"
#include "transport/process/sha256.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;
using state::error;
using state::error_kind;

namespace {

constexpr auto ring_size = std::size_t{256};
constexpr auto reply_timeout = std::chrono::seconds{30};
constexpr auto bearer_prefix = std::string_view{"Bearer "};

} // namespace

struct administration_worker::pending_call {
    explicit pending_call(http::asio::io_context& context) : reply_timer_{context, reply_timeout} {}

    http::asio::steady_timer reply_timer_;
    bool has_reply_{false};
    administration_reply reply_;
};

administration_worker::administration_worker(const agent_settings& settings)
    : settings_{settings}, server_{worker_.context(), settings.administration_,
                                   [this](http::exchange& exchange) { return serve(exchange); }},
      from_control_{ring_size, worker_.context(), [this](administration_reply& reply) { process(reply); }}
{}

auto administration_worker::start() -> void
{
    server_.start();
    worker_.start();
}

auto administration_worker::stop() -> void
{
    worker_.stop();
}

auto administration_worker::serve(http::exchange& exchange) -> http::awaitable<void>
{
    const auto& message = exchange.message();
    const auto target = http::split_target(message.target());
    auto call = administration_call{.number_ = ++last_number_,
                                    .method_ = std::string{message.method_string()},
                                    .path_ = target.path_,
                                    .query_ = target.query_,
                                    .body_ = message.body(),
                                    .operator_ = authenticate(message),
                                    .change_id_ = http::header_text(message, "X-Change-Id"),
                                    .based_on_ = http::header_text(message, "If-Match")};
    const auto pending = std::make_shared<pending_call>(worker_.context());
    pending_calls_.emplace(call.number_, pending);
    const auto number = call.number_;
    if (!control_->try_push(std::move(call))) {
        pending_calls_.erase(number);
        throw error{error_kind::no_capacity, "Too many administration calls are queued.",
                    "Try again after a second."};
    }
    auto ignored = boost::system::error_code{};
    co_await pending->reply_timer_.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    pending_calls_.erase(number);
    if (!pending->has_reply_)
        throw error{error_kind::outcome_unknown, "The call timed out.",
                    "Send it again with the same change id; the change is applied at most once."};
    auto& reply = pending->reply_;
    co_await exchange.send(http::make_response(reply.status_, reply.media_type_, std::move(reply.body_)));
}

auto administration_worker::authenticate(const http::request& message) const -> std::string
{
    const auto authorization = http::header_text(message, "Authorization");
    if (!authorization.starts_with(bearer_prefix))
        throw error{error_kind::unauthenticated, "The request has no operator key.",
                    "Send an operator's key as 'Authorization: Bearer KEY'."};
    const auto hash = transport::process::sha256(authorization.substr(bearer_prefix.size()));
    for (const auto& account : settings_.operators_) {
        if (account.key_hash_ == hash)
            return account.name_;
    }
    throw error{error_kind::unauthenticated, "The key does not belong to an operator.", "Check the key."};
}

auto administration_worker::process(administration_reply& reply) -> void
{
    const auto found = pending_calls_.find(reply.number_);
    if (found == pending_calls_.end())
        return;
    found->second->has_reply_ = true;
    found->second->reply_ = std::move(reply);
    found->second->reply_timer_.cancel();
}

} // namespace buckthorndale::services::agent

#include <utility>

#include "agent/roll_out_service.hpp"

#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::agent {

namespace http = transport::http;

namespace {

constexpr auto decision_interval = std::chrono::milliseconds{500};

auto describe(const state::roll_out& roll_out) -> std::string
{
    const auto is_halt = roll_out.state_ == state::roll_out_state::halted;
    return (is_halt ? "halt of " : "share " + std::to_string(roll_out.share_.value()) + " of ") +
           roll_out.to_key().text();
}

} // namespace

auto roll_out_service::start() -> void
{
    http::asio::co_spawn(shared_.context_, run(), http::asio::detached);
}

auto roll_out_service::run() -> http::awaitable<void>
{
    auto timer = http::asio::steady_timer{shared_.context_};
    while (true) {
        timer.expires_after(decision_interval);
        co_await timer.async_wait(http::asio::use_awaitable);
        // An agent that cannot confirm its configuration might propose changes based on an old one.
        if (!synchroniser_.is_confirmed() || shared_.is_shutting_down_)
            continue;
        const auto now = shared_.clock_.now();
        shared_.version_guard_.clear_expired_alarms(now);
        shared_.version_guard_.raise_alarms(now);
        auto proposals = controller_.decide(*shared_.replica_.current(), shared_.version_guard_,
                                            shared_.instance_list_.members_, now);
        for (auto& proposal : proposals)
            co_await propose(std::move(proposal));
    }
}

auto roll_out_service::propose(coordination::roll_out::roll_out_proposal proposal) -> http::awaitable<void>
{
    const auto what = describe(proposal.content_);
    auto request = edit_request{};
    request.id_ = state::change_id{std::to_string(shared_.random_.next())};
    request.author_ = shared_.settings_.instance_.text();
    request.based_on_ = proposal.based_on_;
    request.content_ = proposal.content_;
    try {
        co_await editor_.edit(std::move(request));
        log_.info("Decided on " + what + ": " + proposal.reason_ + ".");
    } catch (const state::error& fault) {
        log_.info("Could not bring about " + what + ": " + fault.what());
    }
}

} // namespace buckthorndale::services::agent

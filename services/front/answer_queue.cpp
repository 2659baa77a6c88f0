#include <utility>

#include "front/answer_queue.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace buckthorndale::services::front {

namespace {

auto wait_on(transport::http::asio::steady_timer& timer) -> transport::http::awaitable<void>
{
    auto ignored = boost::system::error_code{};
    co_await timer.async_wait(
        transport::http::asio::redirect_error(transport::http::asio::use_awaitable, ignored));
}

} // namespace

auto answer_queue::push(answer_item item) -> void
{
    if (is_closed_)
        return;
    items_.push_back(std::move(item));
    filled_.cancel();
}

auto answer_queue::next() -> transport::http::awaitable<answer_item>
{
    while (items_.empty())
        co_await wait_on(filled_);
    auto item = std::move(items_.front());
    items_.pop_front();
    emptied_.cancel();
    co_return item;
}

auto answer_queue::wait_for_room() -> transport::http::awaitable<void>
{
    while (items_.size() > most_queued && !is_closed_)
        co_await wait_on(emptied_);
}

auto answer_queue::close() -> void
{
    is_closed_ = true;
    items_.clear();
    emptied_.cancel();
}

} // namespace buckthorndale::services::front

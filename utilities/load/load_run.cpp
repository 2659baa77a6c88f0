#include <utility>

#include "load/load_run.hpp"

#include "protocol/event_stream/parser.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace buckthorndale::utilities::load {

namespace http = transport::http;

namespace {

constexpr auto answer_limit = state::duration{std::chrono::seconds{60}};
constexpr auto success = 200U;

} // namespace

auto load_run::run() -> load_result
{
    const auto started = clock_.now();
    for (auto caller = 0; caller < settings_.callers_; ++caller)
        http::asio::co_spawn(context_, call_in_turn(caller), http::asio::detached);
    context_.run();
    result_.taken_ = clock_.now() - started;
    return std::move(result_);
}

auto load_run::call_in_turn(int caller) -> http::awaitable<void>
{
    const auto started = clock_.now();
    auto timer = http::asio::steady_timer{context_};
    for (auto number = caller; number < settings_.requests_; number += settings_.callers_) {
        if (settings_.rate_ > 0) {
            const auto due = started + std::chrono::duration_cast<state::duration>(
                                           std::chrono::duration<double>(number / settings_.rate_));
            timer.expires_after(std::max(due - clock_.now(), state::duration::zero()));
            co_await timer.async_wait(http::asio::use_awaitable);
        }
        co_await call_once(number);
    }
}

auto load_run::call_once(int number) -> http::awaitable<void>
{
    const auto bounds = http::client::timeouts{.first_byte_ = answer_limit, .between_chunks_ = answer_limit};
    const auto sent = clock_.now();
    auto last = sent;
    auto pieces = std::int64_t{0};
    auto is_whole = false;
    try {
        auto stream = co_await client_.open(settings_.target_, message(number), bounds, false);
        auto parser = protocol::event_stream::parser{};
        while (stream->status() == success) {
            const auto bytes = co_await stream->read_some(answer_limit);
            if (bytes.empty())
                break;
            const auto now = clock_.now();
            for (const auto& event : parser.feed(bytes)) {
                is_whole = is_whole || event.data_ == protocol::event_stream::end_marker;
                if (event.data_.find("\"delta\"") == std::string::npos)
                    continue;
                (pieces == 0 ? result_.first_tokens_ : result_.between_tokens_).push_back(now - last);
                last = now;
                ++pieces;
            }
        }
        stream->release();
    } catch (const http::client_error&) {
        is_whole = false;
    }
    ++(is_whole ? result_.whole_ : result_.failed_);
    result_.tokens_ += pieces;
}

auto load_run::message(int number) const -> http::request
{
    auto message = http::request{http::beast::http::verb::post, "/v1/chat/completions", 11};
    message.set(http::beast::http::field::content_type, "application/json");
    if (!settings_.key_.empty())
        message.set(http::beast::http::field::authorization, "Bearer " + settings_.key_);
    if (!settings_.version_.empty())
        message.set("X-Model-Version", settings_.version_);
    message.body() = R"({"stream":true,"model":")" + settings_.profile_ +
                     R"(","messages":[{"role":"user","content":"tokens=)" +
                     std::to_string(settings_.tokens_) + " request " + std::to_string(number) + R"("}]})";
    return message;
}

auto quantile(std::vector<state::duration> values, double part) -> state::duration
{
    if (values.empty())
        return {};
    const auto place = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(place));
    return values[place];
}

} // namespace buckthorndale::utilities::load

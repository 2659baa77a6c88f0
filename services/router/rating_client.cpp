#include <utility>

#include "router/rating_client.hpp"

#include "protocol/caller/chat_answer.hpp"
#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/error.hpp"

namespace buckthorndale::services::router {

namespace http = transport::http;

namespace {

auto build_rating_request(const caller_request& request, const network_attempt& attempt) -> http::request
{
    auto content = std::string{};
    const auto is_held = attempt.order_.release_ == coordination::routing::release_mode::hold;
    for (const auto& chunk : is_held ? attempt.held_chunks_ : attempt.sampled_chunks_)
        content.append(protocol::caller::chunk_text(chunk));
    auto value = Json::Value{Json::objectValue};
    value["version"] = attempt.order_.version_.text();
    value["request_type"] = request.description_.request_type_;
    value["prompt"] = request.chat_->last_message();
    value["answer"] = content;
    auto message = http::request{http::beast::http::verb::post, "/rate", 11};
    message.set(http::beast::http::field::content_type, "application/json");
    message.body() = protocol::json::to_text(value);
    return message;
}

auto read_score(const std::string& body) -> state::permille
{
    const auto value = protocol::json::parse(body, state::error_kind::endpoint_failed);
    auto reader = protocol::json::object_reader{value, "", state::error_kind::endpoint_failed};
    return state::permille{static_cast<std::int32_t>(reader.integer("score", 0, state::full_share.value()))};
}

} // namespace

auto fetch_rating(http::client& client, std::optional<state::network_address> service,
                  state::duration timeout, const caller_request& request, const network_attempt& attempt)
    -> http::awaitable<std::optional<state::permille>>
{
    if (!service)
        co_return std::nullopt;
    try {
        const auto timeouts =
            http::client::timeouts{.connect_ = timeout, .first_byte_ = timeout, .between_chunks_ = timeout};
        const auto answer = co_await client.fetch(*service, build_rating_request(request, attempt), timeouts);
        if (answer.result_int() != 200)
            co_return std::nullopt;
        co_return read_score(answer.body());
    } catch (const http::client_error&) {
        co_return std::nullopt;
    } catch (const state::error&) {
        co_return std::nullopt;
    }
}

} // namespace buckthorndale::services::router

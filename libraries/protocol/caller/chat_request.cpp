#include "protocol/caller/chat_request.hpp"

#include "protocol/json/object_reader.hpp"
#include "protocol/json/text.hpp"
#include "state/stable_hash.hpp"

namespace buckthorndale::protocol::caller {

namespace {

using state::error;
using state::error_kind;

/// The prefix hash covers this many bytes of the first message.
constexpr auto prefix_bytes = std::size_t{512};

auto check_messages(const Json::Value& messages) -> void
{
    if (!messages.isArray() || messages.empty())
        throw error{error_kind::invalid_request, "'messages' is not a non-empty array.",
                    R"(Write it as [ { "role": "user", "content": "..." } ].)"};
    for (const auto& message : messages) {
        if (!message.isObject() || !message["role"].isString() || !message.isMember("content"))
            throw error{error_kind::invalid_request, "A message is missing its role or content.",
                        "Give each message a role and a content."};
    }
}

} // namespace

chat_request::chat_request(std::string_view body) : body_{json::parse(body, error_kind::invalid_request)}
{
    auto reader = json::object_reader{body_, "", error_kind::invalid_request};
    check_messages(reader.raw("messages"));
    model_ = reader.text_or("model", "");
    is_stream_ = reader.boolean_or("stream", false);
}

auto chat_request::content() const -> state::content_fingerprint
{
    auto hashed_body = body_;
    hashed_body.removeMember("stream");
    return state::content_fingerprint{state::stable_hash(json::to_text(hashed_body))};
}

auto chat_request::prefix() const -> state::content_fingerprint
{
    const auto text = json::to_text(body_["messages"][0]);
    return state::content_fingerprint{state::stable_hash(std::string_view{text}.substr(0, prefix_bytes))};
}

auto chat_request::last_message() const -> std::string
{
    const auto& messages = body_["messages"];
    const auto& content = messages[messages.size() - 1]["content"];
    return content.isString() ? content.asString() : json::to_text(content);
}

auto chat_request::engine_body(const state::model_name& model) const -> std::string
{
    auto body = body_;
    body["stream"] = true;
    body["model"] = model.text();
    return json::to_text(body);
}

} // namespace buckthorndale::protocol::caller

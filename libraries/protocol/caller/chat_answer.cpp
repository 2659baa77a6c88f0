#include "protocol/caller/chat_answer.hpp"

#include "protocol/json/text.hpp"

#include <json/value.h>

namespace buckthorndale::protocol::caller {

namespace {

auto usage_to_json(const coordination::routing::answer_summary& summary) -> Json::Value
{
    auto usage = Json::Value{Json::objectValue};
    usage["completion_tokens"] = Json::Int64{summary.tokens_.value()};
    usage["cost_micro_credits"] = Json::Int64{summary.cost_.value()};
    usage["attempts"] = summary.attempts_;
    return usage;
}

} // namespace

auto chunk_text(std::string_view data) -> std::string
{
    const auto value = json::parse(data, state::error_kind::endpoint_failed);
    if (!value.isObject() || !value["choices"].isArray() || value["choices"].empty())
        return {};
    const auto& choice = value["choices"][0];
    if (!choice.isObject() || !choice["delta"].isObject())
        return {};
    const auto& content = choice["delta"]["content"];
    return content.isString() ? content.asString() : std::string{};
}

auto complete_answer_text(const state::request_id& request,
                          const coordination::routing::answer_summary& summary, const std::string& content)
    -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["id"] = request.text();
    value["object"] = "chat.completion";
    value["model"] = summary.version_.text();
    auto choice = Json::Value{Json::objectValue};
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = content;
    choice["finish_reason"] = "stop";
    value["choices"].append(choice);
    value["usage"] = usage_to_json(summary);
    return json::to_text(value);
}

auto usage_chunk_text(const state::request_id& request, const coordination::routing::answer_summary& summary)
    -> std::string
{
    auto value = Json::Value{Json::objectValue};
    value["id"] = request.text();
    value["object"] = "chat.completion.chunk";
    value["model"] = summary.version_.text();
    value["choices"] = Json::Value{Json::arrayValue};
    value["usage"] = usage_to_json(summary);
    return json::to_text(value);
}

} // namespace buckthorndale::protocol::caller

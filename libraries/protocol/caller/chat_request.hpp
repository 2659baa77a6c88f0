#pragma once

#include "state/identifiers.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace buckthorndale::protocol::caller {

/// A chat-completion request as a caller sent it.
class chat_request {
public:
    /// Parses and validates a request body. Throws error of kind invalid_request.
    explicit chat_request(std::string_view body);

    auto is_stream() const -> bool { return is_stream_; }

    /// The `model` field, which selects the profile if no header does; may be empty.
    auto model() const -> const std::string& { return model_; }

    /// A stable hash of every field that affects the content of the answer.
    auto content() const -> state::content_fingerprint;

    /// A stable hash of the beginning of the conversation, used for prefix affinity.
    auto prefix() const -> state::content_fingerprint;

    /// The text of the last message, used for ratings.
    auto last_message() const -> std::string;

    /// The request body for an engine. Always requests streaming, so that every chunk has an offset.
    auto engine_body(const state::model_name& model) const -> std::string;

private:
    Json::Value body_;
    std::string model_;
    bool is_stream_{false};
};

} // namespace buckthorndale::protocol::caller

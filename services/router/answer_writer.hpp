#pragma once

#include "router/caller_request.hpp"
#include "transport/http/exchange.hpp"

#include <string>

namespace buckthorndale::services::router {

/// Writes the response to one request: an event stream, a JSON object, the answer of a plain service or a
/// refusal.
class answer_writer {
public:
    answer_writer(transport::http::exchange& exchange, const caller_request& request)
        : exchange_{exchange}, request_{request}
    {}

    /// Runs until the response is complete. Throws system_error when the caller has disconnected.
    auto run() -> transport::http::awaitable<void>;

private:
    auto write(const answer_begun& item) -> transport::http::awaitable<bool>;
    auto write(const answer_chunk& item) -> transport::http::awaitable<bool>;
    auto write(const plain_answer& item) -> transport::http::awaitable<bool>;
    auto write(const coordination::routing::answer_summary& item) -> transport::http::awaitable<bool>;
    auto write(const coordination::routing::refusal& item) -> transport::http::awaitable<bool>;
    auto add_common_headers(transport::http::response& response) const -> void;
    auto add_session_headers(transport::http::response& response, const state::version_key& version) const
        -> void;

    auto is_stream() const -> bool { return request_.chat_ && request_.chat_->is_stream(); }

    transport::http::exchange& exchange_;
    // Items are taken from its output queue; everything else is only read.
    const caller_request& request_;
    answer_begun start_;
    std::string content_;
    bool has_begun_stream_{false};
};

} // namespace buckthorndale::services::router

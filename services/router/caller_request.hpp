#pragma once

#include "coordination/answer/answer_relay.hpp"
#include "coordination/routing/attempt_command.hpp"
#include "protocol/caller/chat_request.hpp"
#include "router/output_queue.hpp"
#include "state/request_description.hpp"
#include "state/units.hpp"
#include "transport/http/caller_share.hpp"
#include "transport/http/client.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace buckthorndale::services::router {

/// State of an attempt in the network worker.
struct network_attempt {
    coordination::routing::attempt_command order_;
    std::unique_ptr<transport::http::response_stream> stream_;
    bool is_cancelled_{false};
    /// Chunks that are held back until the answer is released.
    std::vector<std::string> held_chunks_;
    /// Copies of chunks that were sent to the caller, kept for a rating.
    std::vector<std::string> sampled_chunks_;
    /// The answer of a plain service.
    coordination::claims::call_outcome outcome_;
};

/// State of a caller's request in the network worker, from its arrival to its final answer.
struct caller_request {
    caller_request(transport::http::asio::io_context& context, state::request_handle handle,
                   std::shared_ptr<transport::http::caller_share> share)
        : handle_{handle}, share_{std::move(share)}, output_{context, max_queued_outputs, max_queued_bytes}
    {}

    /// Puts the queued answer on account. A caller that does not read it gives way when there is no more
    /// memory.
    auto hold_queue() const -> void
    {
        if (!share_->try_hold(transport::http::held_part::queue, output_.queued_bytes()))
            share_->evict();
    }

    state::request_handle handle_;
    /// What the request holds of the memory for callers.
    std::shared_ptr<transport::http::caller_share> share_;
    state::request_description description_;
    /// Set for model requests.
    std::optional<protocol::caller::chat_request> chat_;
    /// The request that is forwarded to a plain service.
    transport::http::request plain_request_;
    coordination::answer::answer_relay relay_;
    // Mutable because the answer writer takes items from it but otherwise has read-only access to the
    // request.
    mutable output_queue output_;
    std::map<state::attempt_handle, std::shared_ptr<network_attempt>> attempts_;
    bool has_begun_{false};
    /// The outcome of an earlier call with the same idempotency key, received with the verdict on the claim.
    std::optional<coordination::claims::call_outcome> stored_outcome_;
    state::time_point arrived_;
};

} // namespace buckthorndale::services::router

#pragma once

#include "coordination/claims/claim_verdict.hpp"
#include "coordination/routing/answer_summary.hpp"
#include "coordination/routing/refusal.hpp"
#include "state/version_key.hpp"
#include "transport/ring/awaitable_queue.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace buckthorndale::services::router {

/// Precedes the first chunk, with the values of the response headers that are known by then.
struct answer_begun {
    state::version_key version_;
    int attempts_{0};
};

/// The data of one event, as the endpoint sent it.
struct answer_chunk {
    std::string data_;
};

/// The answer of a plain service, which is sent to the caller in one part.
struct plain_answer {
    coordination::claims::call_outcome outcome_;
};

using output_item = std::variant<answer_begun, answer_chunk, plain_answer,
                                 coordination::routing::answer_summary, coordination::routing::refusal>;

/// Items to be sent to one caller, in order. Used by the network thread only.
using output_queue = transport::ring::awaitable_queue<output_item>;

/// Items and bytes queued for a slow caller before reading from its endpoint pauses.
inline constexpr auto max_queued_outputs = std::size_t{256};
inline constexpr auto max_queued_bytes = std::size_t{65'536};

} // namespace buckthorndale::services::router

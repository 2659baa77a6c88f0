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

/// The first piece is preceded by what is known of the answer then.
struct answer_begun {
    state::version_key version_;
    int attempts_{0};
};

/// One piece, as the endpoint sent it.
struct answer_chunk {
    std::string data_;
};

/// The answer of a plain service, which is given out as one.
struct plain_answer {
    coordination::claims::call_outcome outcome_;
};

using output_item = std::variant<answer_begun, answer_chunk, plain_answer,
                                 coordination::routing::answer_summary, coordination::routing::refusal>;

/// What is to be sent to one caller, in order. The network thread fills and empties it.
using output_queue = transport::ring::awaitable_queue<output_item>;

/// Items that a slow caller may hold up before its endpoint is read no further.
inline constexpr auto max_queued_outputs = std::size_t{256};

} // namespace buckthorndale::services::router

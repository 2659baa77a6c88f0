#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/request_description.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>

/// The lifecycle of a request inside a router, from arrival to its final answer.
namespace buckthorndale::coordination::routing {

/// How the chunks of an attempt's answer are handled as they arrive.
enum class release_mode : std::uint8_t {
    /// Chunks are sent to the caller immediately.
    stream,
    /// Chunks are buffered until the answer is released.
    hold,
};

/// Tells the network worker to run one attempt.
struct attempt_command {
    state::request_handle request_;
    state::attempt_handle attempt_;
    state::endpoint_id endpoint_;
    state::network_address address_;
    state::target_kind target_{state::target_kind::model};
    state::version_key version_;
    /// The first chunk to fetch; earlier chunks were already sent to the caller.
    std::uint64_t resume_offset_{0};
    release_mode release_{release_mode::stream};
    /// Whether to keep the answer for a rating although it is streamed to the caller.
    bool is_rated_later_{false};
    /// Set for calls that must not be repeated: a pooled connection may have gone dead unnoticed.
    bool needs_new_connection_{false};
    /// When the command was issued. A command that is already old when it is executed was delayed by a
    /// process freeze.
    state::time_point issued_;
    /// Maximum time to the first chunk and between chunks, after which the attempt counts as silent.
    state::duration first_chunk_timeout_{0};
    state::duration chunk_timeout_{0};
};

} // namespace buckthorndale::coordination::routing

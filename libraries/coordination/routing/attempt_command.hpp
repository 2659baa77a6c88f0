#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/request_description.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>

/// The life of a request inside a router, from arrival to its final answer.
namespace buckthorndale::coordination::routing {

/// What happens to the pieces of an attempt's answer as they arrive.
enum class release_mode : std::uint8_t {
    /// They are given out at once.
    stream,
    /// They are kept until the answer is released.
    hold,
};

/// Tells the network side to run one attempt.
struct attempt_command {
    state::request_handle request_;
    state::attempt_handle attempt_;
    state::endpoint_id endpoint_;
    state::network_address address_;
    state::target_kind target_{state::target_kind::model};
    state::version_key version_;
    /// The first piece that is wanted; pieces before it were given out already.
    std::uint64_t resume_offset_{0};
    release_mode release_{release_mode::stream};
    /// Whether the answer is to be kept for a rating although it is given out.
    bool is_rated_later_{false};
    /// A call that must not be repeated never goes over a pooled connection that may have gone silent.
    bool needs_new_connection_{false};
    /// When the order was given; one that is old when it is to be sent was held up by a freeze.
    state::time_point issued_;
    /// Time to the first piece and between pieces, after which the attempt counts as silent.
    state::duration first_chunk_timeout_{0};
    state::duration chunk_timeout_{0};
};

} // namespace buckthorndale::coordination::routing

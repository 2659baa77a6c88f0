#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorndale::coordination::forwarding {

/// How an attempt ended, as far as it decides what follows.
enum class forward_outcome : std::uint8_t {
    /// A whole success.
    complete,
    /// A whole answer that says the request failed; it may have run.
    failed,
    /// The endpoint said that it did not run the request.
    declined,
    /// Another endpoint answered under this address; nothing ran.
    wrong_endpoint,
    /// No byte left for the endpoint.
    not_sent,
    /// The connection broke; the request may have run.
    broken,
    /// The connection broke and the endpoint takes no new one.
    crashed,
    /// Nothing came in time.
    silent,
    /// The answer is not what it should be.
    malformed,
};

/// The outcome as it stands in logs.
auto to_string(forward_outcome outcome) -> std::string_view;

struct forward_attempt_result {
    state::attempt_handle attempt_;
    forward_outcome outcome_{forward_outcome::broken};
    /// The last event that the caller was given in this attempt; empty when there was none.
    std::string last_event_;
    /// Events given out in this attempt.
    std::int64_t events_{0};
    /// From the head of the answer to its last event.
    state::duration stream_time_{0};
    /// Whether the endpoint announced that it leaves.
    bool is_leaving_{false};
};

} // namespace buckthorndale::coordination::forwarding

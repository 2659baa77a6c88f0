#pragma once

#include "protocol/event_stream/raw_splitter.hpp"

#include <cstdint>
#include <string_view>

namespace buckthorndale::protocol::event_stream {

enum class event_verdict : std::uint8_t {
    /// The event continues the caller's stream.
    deliver,
    /// The caller has the event already.
    repeated,
    /// The event has no place in the stream, as text that is no event of it.
    misplaced,
};

/// Decides whether an event continues a stream of which the caller has everything up to the event with the ID
/// `last`; empty for none. With `must_be_numbered`, as in streams that another endpoint may continue, an
/// event without a number is misplaced; comments are not events.
auto judge_event(const raw_event& event, std::string_view last, bool must_be_numbered) -> event_verdict;

} // namespace buckthorndale::protocol::event_stream

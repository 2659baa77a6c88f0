#pragma once

#include <string>

/// Server-sent events (WHATWG HTML, section 9.2), as engines and callers exchange them.
namespace buckthorndale::protocol::event_stream {

/// A single event.
struct event {
    std::string id_;
    std::string type_;
    std::string data_;

    auto operator==(const event&) const -> bool = default;
};

/// Serialises an event, including the terminating blank line.
auto to_text(const event& item) -> std::string;

/// The data of the event that terminates a stream.
inline constexpr auto end_marker = "[DONE]";

} // namespace buckthorndale::protocol::event_stream

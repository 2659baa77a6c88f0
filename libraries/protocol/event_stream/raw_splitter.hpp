#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::event_stream {

/// An event with the very bytes that it came in, blank line included.
struct raw_event {
    /// Empty when the event has none.
    std::string id_;
    std::string bytes_;
};

/// Splits a byte stream into events without changing a byte, for passing them on.
class raw_splitter {
public:
    /// The largest size of one event in bytes; beyond it feed() throws error of kind too_large.
    static constexpr std::size_t max_event_size{1'048'576};

    /// Takes bytes in any portions and returns the events completed by them.
    auto feed(std::string_view bytes) -> std::vector<raw_event>;

    /// The bytes of an incomplete event.
    auto partial_event() const -> const std::string& { return buffer_; }

private:
    std::string buffer_;
};

} // namespace buckthorndale::protocol::event_stream

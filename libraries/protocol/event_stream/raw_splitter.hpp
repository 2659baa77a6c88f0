#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::event_stream {

/// An event with its original bytes, including the terminating blank line.
struct raw_event {
    /// Empty if the event has no id.
    std::string id_;
    std::string bytes_;
};

/// Splits a byte stream into events for relaying them unmodified.
class raw_splitter {
public:
    /// In bytes. feed() throws error of kind too_large for a larger event.
    static constexpr std::size_t max_event_size{1'048'576};

    /// Accepts chunks of any size and returns the events completed by this chunk.
    auto feed(std::string_view bytes) -> std::vector<raw_event>;

    /// The buffered bytes of an incomplete event.
    auto partial_event() const -> const std::string& { return buffer_; }

private:
    std::string buffer_;
};

} // namespace buckthorndale::protocol::event_stream

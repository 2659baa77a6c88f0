#pragma once

#include "protocol/event_stream/event.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::event_stream {

/// Incrementally parses a byte stream into events. An event is returned only once its terminating blank line
/// has arrived.
class parser {
public:
    /// In bytes. feed() throws error of kind too_large for a larger event.
    static constexpr std::size_t max_event_size{1'048'576};

    /// Accepts chunks of any size and returns the events completed by this chunk.
    auto feed(std::string_view bytes) -> std::vector<event>;

    /// Whether part of an incomplete event is buffered.
    auto has_partial_event() const -> bool { return !buffer_.empty() || has_fields_; }

private:
    auto process_line(std::string_view line, std::vector<event>& complete) -> void;
    auto process_field(std::string_view name, std::string_view value) -> void;

    std::string buffer_;
    event current_;
    bool has_fields_{false};
    bool has_data_{false};
};

} // namespace buckthorndale::protocol::event_stream

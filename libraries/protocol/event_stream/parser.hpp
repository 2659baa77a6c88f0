#pragma once

#include "protocol/event_stream/event.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::event_stream {

/// Splits a byte stream into events. An event without its blank line is not complete and never comes out.
class parser {
public:
    /// The largest size of one event in bytes; beyond it feed() throws error of kind too_large.
    static constexpr std::size_t max_event_size{1'048'576};

    /// Takes bytes in any portions and returns the events completed by them.
    auto feed(std::string_view bytes) -> std::vector<event>;

    /// Whether bytes of an incomplete event are left over.
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

#include "protocol/event_stream/raw_splitter.hpp"

#include "state/error.hpp"

#include <algorithm>

namespace buckthorndale::protocol::event_stream {

namespace {

/// Where the first event ends, blank line included; npos when it is not complete.
auto end_of_event(const std::string& text) -> std::size_t
{
    constexpr auto short_mark = std::string_view{"\n\n"};
    constexpr auto long_mark = std::string_view{"\r\n\r\n"};
    const auto short_end = text.find(short_mark);
    const auto long_end = text.find(long_mark);
    const auto after_short = short_end == std::string::npos ? short_end : short_end + short_mark.size();
    const auto after_long = long_end == std::string::npos ? long_end : long_end + long_mark.size();
    return std::min(after_short, after_long);
}

auto id_of(std::string_view event) -> std::string
{
    constexpr auto field = std::string_view{"id:"};
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return std::string{line};
    }
    return {};
}

} // namespace

auto raw_splitter::feed(std::string_view bytes) -> std::vector<raw_event>
{
    buffer_.append(bytes);
    auto complete = std::vector<raw_event>{};
    for (auto end = end_of_event(buffer_); end != std::string::npos; end = end_of_event(buffer_)) {
        auto event = raw_event{.bytes_ = buffer_.substr(0, end)};
        event.id_ = id_of(event.bytes_);
        complete.push_back(std::move(event));
        buffer_.erase(0, end);
    }
    if (buffer_.size() > largest_event)
        throw state::error{state::error_kind::too_large, "An event of a stream is too large.",
                           "Send smaller events."};
    return complete;
}

} // namespace buckthorndale::protocol::event_stream

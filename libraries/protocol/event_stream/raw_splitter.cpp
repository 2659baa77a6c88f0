#include "protocol/event_stream/raw_splitter.hpp"

#include "state/error.hpp"

#include <algorithm>

namespace buckthorndale::protocol::event_stream {

namespace {

constexpr auto lf_delimiter = std::string_view{"\n\n"};
constexpr auto crlf_delimiter = std::string_view{"\r\n\r\n"};

/// The end offset of the first event whose blank line begins at `from` or later, including that line; npos if
/// it is incomplete.
auto find_event_end(const std::string& text, std::size_t from) -> std::size_t
{
    const auto lf_position = text.find(lf_delimiter, from);
    const auto crlf_position = text.find(crlf_delimiter, from);
    const auto lf_end = lf_position == std::string::npos ? lf_position : lf_position + lf_delimiter.size();
    const auto crlf_end =
        crlf_position == std::string::npos ? crlf_position : crlf_position + crlf_delimiter.size();
    return std::min(lf_end, crlf_end);
}

auto find_event_id(std::string_view event) -> std::string
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
    // Only the end of what was searched before may be the beginning of a blank line.
    const auto searched = buffer_.size() - std::min(buffer_.size(), crlf_delimiter.size() - 1);
    buffer_.append(bytes);
    auto complete = std::vector<raw_event>{};
    for (auto end = find_event_end(buffer_, searched); end != std::string::npos;
         end = find_event_end(buffer_, 0)) {
        auto event = raw_event{.bytes_ = buffer_.substr(0, end)};
        event.id_ = find_event_id(event.bytes_);
        complete.push_back(std::move(event));
        buffer_.erase(0, end);
    }
    if (buffer_.size() > max_event_size)
        throw state::error{state::error_kind::too_large, "An event of the stream is larger than 1 MiB.",
                           "Make the endpoint send smaller events."};
    return complete;
}

} // namespace buckthorndale::protocol::event_stream

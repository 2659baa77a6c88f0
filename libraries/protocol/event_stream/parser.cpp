#include "protocol/event_stream/parser.hpp"

#include "state/error.hpp"

#include <utility>

namespace buckthorndale::protocol::event_stream {

auto parser::feed(std::string_view bytes) -> std::vector<event>
{
    buffer_.append(bytes);
    auto complete = std::vector<event>{};
    auto begin = std::size_t{0};
    while (true) {
        const auto end = buffer_.find('\n', begin);
        if (end == std::string::npos)
            break;
        auto line = std::string_view{buffer_}.substr(begin, end - begin);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        process_line(line, complete);
        begin = end + 1;
    }
    buffer_.erase(0, begin);
    if (buffer_.size() + current_.data_.size() > max_event_size)
        throw state::error{state::error_kind::too_large, "An event of the stream is larger than 1 MiB.",
                           "Make the endpoint send smaller events."};
    return complete;
}

auto parser::process_line(std::string_view line, std::vector<event>& complete) -> void
{
    if (line.empty()) {
        if (has_data_)
            complete.push_back(std::move(current_));
        current_ = {};
        has_fields_ = false;
        has_data_ = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == 0)
        return;
    auto value = colon == std::string_view::npos ? std::string_view{} : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    process_field(line.substr(0, colon), value);
}

auto parser::process_field(std::string_view name, std::string_view value) -> void
{
    has_fields_ = true;
    if (name == "id")
        current_.id_ = value;
    if (name == "event")
        current_.type_ = value;
    if (name != "data")
        return;
    if (has_data_)
        current_.data_.append("\n");
    current_.data_.append(value);
    has_data_ = true;
}

} // namespace buckthorndale::protocol::event_stream

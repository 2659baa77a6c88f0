#include "protocol/event_stream/event.hpp"

namespace buckthorndale::protocol::event_stream {

auto to_text(const event& item) -> std::string
{
    auto text = std::string{};
    if (!item.id_.empty())
        text.append("id: ").append(item.id_).append("\n");
    if (!item.type_.empty())
        text.append("event: ").append(item.type_).append("\n");
    auto begin = std::size_t{0};
    while (true) {
        const auto end = item.data_.find('\n', begin);
        text.append("data: ").append(item.data_, begin, end - begin).append("\n");
        if (end == std::string::npos)
            break;
        begin = end + 1;
    }
    text.append("\n");
    return text;
}

} // namespace buckthorndale::protocol::event_stream

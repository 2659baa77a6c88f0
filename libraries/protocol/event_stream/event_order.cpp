#include "protocol/event_stream/event_order.hpp"

#include "state/number_from_text.hpp"

#include <algorithm>

namespace buckthorndale::protocol::event_stream {

namespace {

/// Whether all lines are comments or empty.
auto is_comment(std::string_view text) -> bool
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        const auto line = text.substr(0, end);
        if (!line.empty() && line != "\r" && !line.starts_with(':'))
            return false;
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return true;
}

} // namespace

auto judge_event(const raw_event& event, std::string_view last, bool must_be_numbered) -> event_verdict
{
    const auto number = state::number_from_text<std::uint64_t>(event.id_);
    if (!number) {
        const auto may_pass = !must_be_numbered || is_comment(event.bytes_);
        return may_pass ? event_verdict::deliver : event_verdict::misplaced;
    }
    const auto last_number = state::number_from_text<std::uint64_t>(last);
    return last_number && *number <= *last_number ? event_verdict::repeated : event_verdict::deliver;
}

} // namespace buckthorndale::protocol::event_stream

#include "protocol/codec/wall_time.hpp"

#include "state/error.hpp"
#include "state/number_from_text.hpp"

#include <cstdint>

namespace buckthorndale::protocol::codec {

auto to_text(state::wall_time time) -> std::string
{
    return std::to_string(time.time_since_epoch().count());
}

auto wall_time_from_text(const std::string& text) -> state::wall_time
{
    const auto count = state::number_from_text<std::int64_t>(text);
    if (!count)
        throw state::error{state::error_kind::invalid_request, "'" + text + "' is not a valid time.",
                           "Give the milliseconds since 1970-01-01 UTC."};
    return state::wall_time{std::chrono::milliseconds{*count}};
}

} // namespace buckthorndale::protocol::codec

#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace buckthorndale::services::front {

/// The kinds of objects that an instance follows.
enum class object_kind : std::uint8_t { configuration, endpoints, roll_outs, emptied_data_centres };

inline constexpr auto object_kinds = std::array{object_kind::configuration, object_kind::endpoints,
                                                object_kind::roll_outs, object_kind::emptied_data_centres};

constexpr auto to_string(object_kind kind) -> std::string_view
{
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::endpoints:
        return "endpoints";
    case object_kind::roll_outs:
        return "roll_outs";
    case object_kind::emptied_data_centres:
        return "emptied_data_centres";
    }
    return "unknown";
}

} // namespace buckthorndale::services::front

#pragma once

#include "state/units.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace buckthorndale::services::front {

/// The kinds of objects that an instance follows.
enum class object_kind : std::uint8_t { configuration, endpoints, roll_outs };

inline constexpr auto object_kinds =
    std::array{object_kind::configuration, object_kind::endpoints, object_kind::roll_outs};

constexpr auto to_string(object_kind kind) -> std::string_view
{
    switch (kind) {
    case object_kind::configuration:
        return "configuration";
    case object_kind::endpoints:
        return "endpoints";
    case object_kind::roll_outs:
        return "roll_outs";
    }
    return "unknown";
}

/// When the store last confirmed each kind of objects. Written by the control thread, read by any.
class store_gauge {
public:
    auto publish(object_kind kind, state::time_point confirmed_at) -> void
    {
        confirmed_at_.at(static_cast<std::size_t>(kind)).store(confirmed_at);
    }

    /// The time of the last confirmation; none before the first.
    auto confirmed_at(object_kind kind) const -> std::optional<state::time_point>
    {
        const auto time = confirmed_at_.at(static_cast<std::size_t>(kind)).load();
        return time == state::time_point{} ? std::nullopt : std::optional{time};
    }

private:
    std::array<std::atomic<state::time_point>, object_kinds.size()> confirmed_at_{};
};

} // namespace buckthorndale::services::front

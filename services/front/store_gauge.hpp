#pragma once

#include "front/object_kind.hpp"
#include "state/units.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <optional>

namespace buckthorndale::services::front {

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

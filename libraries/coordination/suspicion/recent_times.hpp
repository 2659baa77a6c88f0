#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace buckthorndale::coordination::suspicion {

/// When something last happened, for the last few thousand keys. Each recording costs the same, however many
/// keys there are: the older half is dropped at once.
///
/// Load pattern: hundreds of requests a second at one instance, each with a content of its own.
class recent_times {
public:
    auto record(state::prompt_part_key key, state::time_point time) -> void;

    auto find(state::prompt_part_key key) const -> std::optional<state::time_point>;

private:
    static constexpr std::size_t max_newer{2048};

    std::map<state::prompt_part_key, state::time_point> newer_;
    std::map<state::prompt_part_key, state::time_point> older_;
};

} // namespace buckthorndale::coordination::suspicion

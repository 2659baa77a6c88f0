#include "coordination/suspicion/recent_times.hpp"

#include <algorithm>
#include <utility>

namespace buckthorndale::coordination::suspicion {

auto recent_times::record(state::prompt_part_key key, state::time_point time) -> void
{
    const auto known = find(key);
    newer_[key] = std::max(known.value_or(time), time);
    if (newer_.size() > max_newer)
        older_ = std::exchange(newer_, {});
}

auto recent_times::find(state::prompt_part_key key) const -> std::optional<state::time_point>
{
    for (const auto* times : {&newer_, &older_}) {
        const auto found = times->find(key);
        if (found != times->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace buckthorndale::coordination::suspicion

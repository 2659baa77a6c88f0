#include "coordination/routing/sample_table.hpp"

#include <utility>

namespace buckthorndale::coordination::routing {

auto sample_table::open(state::attempt_handle attempt, quality_sample sample) -> void
{
    if (samples_.size() < max_samples)
        samples_.emplace(attempt, std::move(sample));
}

auto sample_table::take(state::attempt_handle attempt) -> std::optional<quality_sample>
{
    auto found = samples_.extract(attempt);
    if (found.empty())
        return std::nullopt;
    return std::move(found.mapped());
}

auto sample_table::forget_before(state::time_point time) -> void
{
    std::erase_if(samples_, [time](const auto& item) { return item.second.requested_at_ < time; });
}

} // namespace buckthorndale::coordination::routing

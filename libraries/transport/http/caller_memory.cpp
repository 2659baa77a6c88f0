#include "transport/http/caller_memory.hpp"

#include "transport/http/caller_share.hpp"

#include <algorithm>
#include <chrono>

namespace buckthorndale::transport::http {

auto caller_memory::fit_request(std::size_t head_bytes, std::size_t body_bytes) -> void
{
    // A body of unknown length takes up to twice its size, and the fields of a head far more than their text.
    constexpr auto body_factor = std::size_t{2};
    constexpr auto head_factor = std::size_t{32};
    const auto request = body_factor * body_bytes + head_factor * head_bytes;
    while (bulk_limit() < request)
        limit_ += limit_ / 2 + small_request_bytes;
}

auto caller_memory::counts() const -> caller_memory_counts
{
    auto counts = counts_;
    counts.held_ = held_ + refusals_;
    counts.limit_ = limit_;
    return counts;
}

auto caller_memory::make_room(const caller_share& owner, std::size_t growth, std::size_t bulk_growth) -> bool
{
    while (true) {
        const auto needs_bulk = bulk_growth > 0 && bulk_ + bulk_growth > bulk_limit();
        if (!needs_bulk && held_ + growth <= service_limit())
            return true;
        auto* const heaviest = find_heaviest(needs_bulk);
        if (heaviest == nullptr || heaviest == &owner) {
            ++counts_.refused_;
            return false;
        }
        ++counts_.evicted_;
        heaviest->evict();
    }
}

auto caller_memory::has_room_for_refusal(std::size_t growth) -> bool
{
    const auto has_room = refusals_ + growth <= refusal_limit();
    if (!has_room)
        ++counts_.refused_;
    return has_room;
}

auto caller_memory::find_heaviest(bool needs_bulk) const -> caller_share*
{
    const auto now = std::chrono::steady_clock::now();
    auto* heaviest = static_cast<caller_share*>(nullptr);
    auto greatest_weight = 0.0;
    for (auto* const share : evictable_) {
        if (needs_bulk && share->bulk() == 0)
            continue;
        const auto weight = share->weight(now);
        if (heaviest != nullptr && weight <= greatest_weight)
            continue;
        heaviest = share;
        greatest_weight = weight;
    }
    return heaviest;
}

} // namespace buckthorndale::transport::http

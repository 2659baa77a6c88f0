#include "coordination/admission/fair_queue.hpp"

#include <algorithm>

namespace buckthorndale::coordination::admission {

auto fair_queue::try_push(const state::workspace_id& workspace, std::int32_t weight,
                          state::request_handle request) -> bool
{
    if (size_ >= capacity_)
        return false;
    const auto share = share_of(weight, workspace);
    auto& own = lanes_[workspace];
    if (own.waiting_.size() >= share)
        return false;
    own.weight_ = weight;
    if (own.waiting_.empty())
        own.start_ = std::max(own.start_, virtual_time_);
    own.waiting_.push_back(request);
    ++size_;
    return true;
}

auto fair_queue::first(std::size_t most) const -> std::vector<state::request_handle>
{
    auto ordered = std::vector<std::pair<double, state::request_handle>>{};
    for (const auto& [workspace, lane] : lanes_) {
        auto start = lane.start_;
        for (auto index = std::size_t{0}; index < std::min(most, lane.waiting_.size()); ++index) {
            ordered.emplace_back(start, lane.waiting_[index]);
            start += 1.0 / lane.weight_;
        }
    }
    std::ranges::sort(ordered);
    auto chosen = std::vector<state::request_handle>{};
    for (const auto& [start, request] : ordered) {
        if (chosen.size() == most)
            break;
        chosen.push_back(request);
    }
    return chosen;
}

auto fair_queue::take(state::request_handle request) -> void
{
    auto* own = find_lane(request);
    if (own == nullptr)
        return;
    std::erase(own->waiting_, request);
    --size_;
    virtual_time_ = std::max(virtual_time_, own->start_);
    own->start_ += 1.0 / own->weight_;
    drop_idle_lanes();
}

auto fair_queue::remove(state::request_handle request) -> bool
{
    auto* own = find_lane(request);
    if (own == nullptr)
        return false;
    std::erase(own->waiting_, request);
    --size_;
    return true;
}

auto fair_queue::find_lane(state::request_handle request) -> workspace_lane*
{
    for (auto& [workspace, lane] : lanes_) {
        if (std::ranges::find(lane.waiting_, request) != lane.waiting_.end())
            return &lane;
    }
    return nullptr;
}

auto fair_queue::share_of(std::int32_t weight, const state::workspace_id& workspace) const -> std::size_t
{
    // The extra weight of one keeps room free for a workspace that arrives later.
    auto weights = std::int64_t{weight} + 1;
    for (const auto& [id, lane] : lanes_) {
        if (id != workspace && !lane.waiting_.empty())
            weights += lane.weight_;
    }
    const auto share = static_cast<std::int64_t>(capacity_) * weight / weights;
    return static_cast<std::size_t>(std::max<std::int64_t>(share, 1));
}

auto fair_queue::drop_idle_lanes() -> void
{
    std::erase_if(lanes_, [this](const auto& item) {
        return item.second.waiting_.empty() && item.second.start_ <= virtual_time_;
    });
}

} // namespace buckthorndale::coordination::admission

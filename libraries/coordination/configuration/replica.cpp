#include "coordination/configuration/replica.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "state/invariant.hpp"

#include <algorithm>
#include <iterator>

namespace buckthorndale::coordination::configuration {

auto replica::offer_change(const state::configuration_change& change) -> offer_result
{
    if (change.generation_ <= current_->generation_) {
        const auto* known = find_change(change.generation_);
        return known != nullptr && known->id_ != change.id_ ? offer_result::diverged
                                                            : offer_result::already_known;
    }
    if (change.generation_ != current_->generation_.next())
        return offer_result::has_gap;
    if (change.previous_chain_ != current_->chain_)
        return offer_result::diverged;
    current_ = std::make_shared<const state::configuration>(apply_change(*current_, change));
    add_recent_change(change);
    return offer_result::applied;
}

auto replica::offer_snapshot(const state::configuration& snapshot) -> offer_result
{
    if (snapshot.generation_ < current_->generation_)
        return offer_result::already_known;
    if (snapshot.generation_ == current_->generation_)
        return snapshot.chain_ == current_->chain_ ? offer_result::already_known : offer_result::diverged;
    const auto before = current_->generation_;
    current_ = std::make_shared<const state::configuration>(snapshot);
    recent_changes_.clear();
    verify(current_->generation_ > before, state::guarantee::configuration_moves_forward,
           "a snapshot must not move the replica backwards");
    return offer_result::applied;
}

auto replica::changes_after(state::generation known) const -> std::vector<state::configuration_change>
{
    auto changes = std::vector<state::configuration_change>{};
    std::ranges::copy_if(recent_changes_, std::back_inserter(changes),
                         [known](const auto& change) { return change.generation_ > known; });
    return changes;
}

auto replica::has_changes_since(state::generation known) const -> bool
{
    if (known >= current_->generation_)
        return true;
    return !recent_changes_.empty() && recent_changes_.front().generation_ <= known.next();
}

auto replica::find_change(state::generation number) const -> const state::configuration_change*
{
    const auto found = std::ranges::find(recent_changes_, number, &state::configuration_change::generation_);
    return found == recent_changes_.end() ? nullptr : &*found;
}

auto replica::add_recent_change(const state::configuration_change& change) -> void
{
    recent_changes_.push_back(change);
    if (recent_changes_.size() > max_recent_changes)
        recent_changes_.pop_front();
}

} // namespace buckthorndale::coordination::configuration

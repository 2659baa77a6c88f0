#pragma once

#include "state/configuration.hpp"
#include "state/configuration_change.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace buckthorndale::coordination::configuration {

/// What became of something that was offered to a replica.
enum class offer_result : std::uint8_t {
    /// Applied; the replica moved forward.
    applied,
    /// The replica has it already.
    already_known,
    /// Changes in between are missing.
    has_gap,
    /// It belongs to another history; an old or foreign copy of the platform's store.
    diverged,
};

/// One node's copy of the configuration. It only moves forward, whoever offers it what.
class replica {
public:
    /// Offers the next change.
    auto offer_change(const state::configuration_change& change) -> offer_result;

    /// Offers a whole configuration, from a snapshot or from a peer.
    auto offer_snapshot(const state::configuration& snapshot) -> offer_result;

    /// The configuration in force. Its generation is 0 while nothing is known.
    auto current() const -> std::shared_ptr<const state::configuration> { return current_; }

    auto is_known() const -> bool { return current_->generation_ > state::generation{}; }

    /// The changes after the generation that are still remembered; empty when they reach back too far.
    auto changes_after(state::generation known) const -> std::vector<state::configuration_change>;

    /// Whether changes_after can bring a node at that generation up to date.
    auto has_changes_since(state::generation known) const -> bool;

    /// The remembered change with the number, or nothing.
    auto find_change(state::generation number) const -> const state::configuration_change*;

private:
    auto add_recent_change(const state::configuration_change& change) -> void;

    /// Enough for a day of changes at the target rate.
    static constexpr std::size_t max_recent_changes{1024};

    std::shared_ptr<const state::configuration> current_{std::make_shared<state::configuration>()};
    std::deque<state::configuration_change> recent_changes_;
};

} // namespace buckthorndale::coordination::configuration

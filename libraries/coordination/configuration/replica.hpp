#pragma once

#include "state/configuration.hpp"
#include "state/configuration_change.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace buckthorndale::coordination::configuration {

/// The result of offering a change or a snapshot to a replica.
enum class offer_result : std::uint8_t {
    /// Applied; the replica moved forward.
    applied,
    /// The replica already has it.
    already_known,
    /// Changes between the replica's generation and the offered one are missing.
    has_gap,
    /// It belongs to a different history: the platform's store is an old or a foreign copy.
    diverged,
};

/// One node's copy of the configuration. Its generation only increases, whatever it is offered.
class replica {
public:
    /// Offers the next change.
    auto offer_change(const state::configuration_change& change) -> offer_result;

    /// Offers a complete configuration, from a snapshot or from a peer.
    auto offer_snapshot(const state::configuration& snapshot) -> offer_result;

    /// The configuration in force. Its generation is 0 until a configuration is known.
    auto current() const -> std::shared_ptr<const state::configuration> { return current_; }

    auto is_known() const -> bool { return current_->generation_ > state::generation{}; }

    /// The retained changes after the generation; see has_changes_since for whether they are complete.
    auto changes_after(state::generation known) const -> std::vector<state::configuration_change>;

    /// Whether changes_after returns every change that a node at this generation lacks.
    auto has_changes_since(state::generation known) const -> bool;

    /// The retained change with this generation, or null.
    auto find_change(state::generation number) const -> const state::configuration_change*;

private:
    auto add_recent_change(const state::configuration_change& change) -> void;

    /// Sufficient for a day of changes at the target rate.
    static constexpr std::size_t max_recent_changes{1024};

    std::shared_ptr<const state::configuration> current_{std::make_shared<state::configuration>()};
    std::deque<state::configuration_change> recent_changes_;
};

} // namespace buckthorndale::coordination::configuration

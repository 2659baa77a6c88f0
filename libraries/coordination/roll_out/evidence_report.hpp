#pragma once

#include "coordination/roll_out/evidence.hpp"
#include "state/identifiers.hpp"
#include "state/version_key.hpp"

#include <vector>

namespace buckthorndale::coordination::roll_out {

/// The counts of one version's answers.
struct version_counts {
    state::version_key version_;
    evidence counts_;

    auto operator==(const version_counts&) const -> bool = default;
};

/// Cumulative counts, by version, of all answers known to a process since it started.
struct evidence_report {
    state::instance_id source_;
    state::incarnation life_;
    std::vector<version_counts> counts_;

    auto operator==(const evidence_report&) const -> bool = default;
};

} // namespace buckthorndale::coordination::roll_out

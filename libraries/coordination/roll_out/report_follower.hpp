#pragma once

#include "coordination/roll_out/evidence_report.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// Turns the cumulative counts reported by another process into increments. The first report of a process,
/// or of its next incarnation, only sets the starting point: its counts may have been added already.
class report_follower {
public:
    /// The increments since the previous report. An older report, received out of order, yields none.
    auto follow(const evidence_report& report) -> std::vector<version_counts>;

private:
    auto is_known_source(const evidence_report& report) const -> bool;

    state::instance_id source_;
    state::incarnation life_;
    std::map<state::version_key, evidence> last_counts_;
};

} // namespace buckthorndale::coordination::roll_out

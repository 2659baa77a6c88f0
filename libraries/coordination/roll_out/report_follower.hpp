#pragma once

#include "coordination/roll_out/evidence_report.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// Turns the growing counts of another process into increments. The first report of a process, or of its
/// next life, is where counting begins: what came before may have been counted already.
class report_follower {
public:
    /// What was added since the report before. A report that is older than that one adds nothing.
    auto follow(const evidence_report& report) -> std::vector<version_counts>;

private:
    auto is_known_source(const evidence_report& report) const -> bool;

    state::instance_id source_;
    state::incarnation life_;
    std::map<state::version_key, evidence> last_counts_;
};

} // namespace buckthorndale::coordination::roll_out

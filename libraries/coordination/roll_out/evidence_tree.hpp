#pragma once

#include "coordination/roll_out/evidence_report.hpp"
#include "coordination/roll_out/report_follower.hpp"
#include "state/identifiers.hpp"
#include "state/member.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// One instance's part in adding up the evidence of all instances. The live members of a data centre form a
/// tree; increments go up, sums come down, and the roots tell each other their data centre's sums. A
/// member's share of the messages does not grow with the number of instances. When members die some
/// increments are lost, none is counted twice: evidence may have gaps, unlike bills.
class evidence_tree {
public:
    evidence_tree(state::instance_id self, state::incarnation life) : self_{std::move(self)}, life_{life} {}

    /// Takes the counts of the own router in.
    auto add_router_report(const evidence_report& report) -> void;

    /// Takes increments of a child in.
    auto add_increments(const std::vector<version_counts>& increments) -> void;

    /// Takes out what the parent has not been sent.
    auto take_unsent() -> std::vector<version_counts>;

    /// As the root: counts what is unsent as this data centre's.
    auto apply_unsent() -> void;

    /// Takes the sums of the parent over.
    auto update_from_parent(const evidence_report& report) -> void;

    /// As the root: takes the sums of another data centre's root over.
    auto update_from_root(const evidence_report& report) -> void;

    /// The sums over all data centres, as far as they are known here.
    auto sums() const -> evidence_report { return report_of(sums_); }

    /// The sums of this data centre, for the other roots.
    auto own_data_centre() const -> evidence_report { return report_of(own_data_centre_); }

private:
    using counts_by_version = std::map<state::version_key, evidence>;

    static auto add_to(counts_by_version& counts, const std::vector<version_counts>& increments) -> void;
    auto report_of(const counts_by_version& counts) const -> evidence_report;

    state::instance_id self_;
    state::incarnation life_;
    report_follower router_;
    report_follower parent_;
    std::map<state::instance_id, report_follower> roots_;
    counts_by_version unsent_;
    counts_by_version own_data_centre_;
    counts_by_version sums_;
};

/// The members of the data centre from the parent up to the root, nearest first; empty for the root. The
/// root is the member that is_watcher() puts first.
auto ancestors_of(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::member>;

/// The roots of the other data centres.
auto other_roots(const state::data_centre_id& data_centre, const std::vector<state::member>& members)
    -> std::vector<state::member>;

} // namespace buckthorndale::coordination::roll_out

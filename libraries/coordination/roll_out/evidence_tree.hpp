#pragma once

#include "coordination/roll_out/evidence_report.hpp"
#include "coordination/roll_out/report_follower.hpp"
#include "state/identifiers.hpp"
#include "state/member.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// One instance's node in the aggregation tree that sums up the evidence of all instances. The live members
/// of a data centre form a tree: increments go up, sums come down, and the roots exchange the sums of their
/// data centres. The number of messages per member does not grow with the number of instances. When members
/// fail, some increments are lost but none is counted twice; evidence, unlike bills, may have gaps.
class evidence_tree {
public:
    evidence_tree(state::instance_id self, state::incarnation life) : self_{std::move(self)}, life_{life} {}

    /// Adds what is new in a report of this instance's own router.
    auto add_router_report(const evidence_report& report) -> void;

    /// Adds increments sent by a child, or its own that could not be sent.
    auto add_increments(const std::vector<version_counts>& increments) -> void;

    /// Removes and returns the increments that were not sent to the parent yet.
    auto take_unsent() -> std::vector<version_counts>;

    /// On the root: adds the unsent increments to the sums of this data centre and to the overall sums.
    auto apply_unsent() -> void;

    /// Adds what is new in the parent's sums.
    auto update_from_parent(const evidence_report& report) -> void;

    /// On the root: adds what is new in the sums of another data centre's root.
    auto update_from_root(const evidence_report& report) -> void;

    /// The sums over all data centres that are known on this instance.
    auto sums() const -> evidence_report { return report_of(sums_); }

    /// The sums of this data centre, which the root sends to the other roots.
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

/// The ancestors of a member in its data centre's tree, parent first; empty for the root. The root is the
/// member that is_watcher() ranks first.
auto ancestors_of(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::member>;

/// The roots of the other data centres.
auto other_roots(const state::data_centre_id& data_centre, const std::vector<state::member>& members)
    -> std::vector<state::member>;

} // namespace buckthorndale::coordination::roll_out

#pragma once

#include "coordination/forwarding/report_scope.hpp"
#include "coordination/forwarding/version_choice.hpp"
#include "coordination/roll_out/evidence.hpp"
#include "coordination/roll_out/slowness_test.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/staged_roll_out.hpp"
#include "state/store_position.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Identifies the answers of one version on one route from one group of endpoints.
struct evidence_key {
    state::service_name service_;
    state::version_name version_;
    std::string route_;
    /// Endpoints are counted in a few groups to keep reports short in large deployments.
    std::int32_t endpoint_group_{0};

    auto operator<=>(const evidence_key&) const = default;
};

/// Counts for one key, since the start of the routers that counted.
struct evidence_count {
    evidence_key key_;
    roll_out::evidence counts_;
};

/// Identifies the times of one version for one kind of work from one group of endpoints.
struct time_key {
    state::service_name service_;
    state::version_name version_;
    roll_out::work_kind work_;
    std::int32_t endpoint_group_{0};

    auto operator<=>(const time_key&) const = default;
};

/// The times for one key.
struct time_count {
    time_key key_;
    roll_out::time_histogram times_;
};

/// How long a router has known an order, and what it has found about the new version.
struct roll_out_age {
    state::service_name service_;
    /// The era that `created_` belongs to; 0 in reports of older builds.
    state::store_era era_;
    std::uint64_t created_{0};
    state::duration age_{0};
    bool is_halted_{false};
    /// Whether there was enough evidence that the new version is not slower.
    bool is_accepted_{false};
};

/// A router's report on roll-outs to other routers.
struct roll_out_report {
    /// Changes when the reporting process restarts.
    state::incarnation life_;
    std::vector<evidence_count> counts_;
    std::vector<time_count> times_;
    std::vector<roll_out_age> ages_;
};

/// A state transition of a roll-out that should be recorded in the store.
struct roll_out_step {
    state::service_name service_;
    state::version_name target_;
    state::staged_roll_out_state state_{state::staged_roll_out_state::running};
    /// The position of the record that the step is based on.
    state::store_position position_;

    auto operator==(const roll_out_step&) const -> bool = default;
};

/// Moves services to new versions in stages, by time and evidence, and rolls them back when a version is
/// worse. Every router runs this. The sums that routers exchange keep their decisions consistent, and a step
/// is recorded by the first router that writes it.
class service_roll_outs {
public:
    /// Replaces the roll-out orders with those in the store. An order keeps its progress when it is read in
    /// another era of the store, where it may have been written again and may lack its last steps.
    auto update(const std::vector<state::staged_roll_out>& orders, state::time_point now) -> void;

    /// Records the number of endpoints of each service. The larger it is, the smaller the first share of a
    /// new version.
    ///
    /// Load pattern: hundreds of sessions are active when a roll-out begins, and some continue at another
    /// router, which has no pins for them. Those that fall into the share switch versions.
    auto record_fleet_sizes(const std::vector<state::registered_endpoint>& endpoints) -> void;

    /// Counts an answer of this router.
    auto record(const state::service_name& service, const state::version_name& version,
                const std::string& route, const state::endpoint_id& endpoint, bool is_good) -> void;

    /// Counts the time of an answer of this router to a request sent at `started`. Times are counted without
    /// a roll-out too, so that the old version's are known when one begins.
    auto record_time(const state::service_name& service, const state::version_name& version,
                     const roll_out::work_kind& work, const state::endpoint_id& endpoint,
                     state::time_point started, state::duration time, state::time_point now) -> void;

    /// Stores a report of another router; it replaces that router's previous one.
    auto hear(const state::instance_id& from, report_scope scope, const roll_out_report& report,
              state::time_point now) -> void;

    /// Builds the report for other routers; empty while no roll-out is running.
    auto report(report_scope scope, state::incarnation life, state::time_point now) const -> roll_out_report;

    /// Which versions a request may run on. `versions` are those available, the earliest registered first.
    /// `draw` decides whether the request falls into the new version's share, from 0 to 1.
    auto choose(const state::service_name& service, const std::vector<state::version_name>& versions,
                const std::optional<state::version_name>& pinned, double draw, state::time_point now) const
        -> version_choice;

    /// Evaluates the evidence and halts roll-outs. Returns the services whose new version was just found
    /// worse.
    auto judge(state::time_point now) -> std::vector<state::service_name>;

    /// The steps that should be recorded now.
    auto steps(state::time_point now) const -> std::vector<roll_out_step>;

    /// The fraction of new requests that go to the new version, from 0 to 1.
    auto share(const state::service_name& service, state::time_point now) const -> double;

    auto is_running() const -> bool;

private:
    struct progress {
        state::staged_roll_out order_;
        /// The state in the store's record. A restored store may have an earlier one than the order's.
        state::staged_roll_out_state recorded_{state::staged_roll_out_state::ordered};
        state::time_point began_;
        /// When this process first saw the order; soon after that it has received few reports.
        state::time_point seen_at_;
        bool is_halted_{false};
        /// Since when all new requests have gone to the new version, which was found not slower before.
        std::optional<state::time_point> accepted_at_;
        roll_out::slowness_test slowness_;
    };

    /// The latest report of one other router.
    struct received_report {
        report_scope scope_{report_scope::own};
        roll_out_report report_;
        state::time_point received_at_;
    };

    using counts_map = std::map<evidence_key, roll_out::evidence>;
    using times_map = std::map<time_key, roll_out::time_histogram>;

    struct evidence_sums {
        counts_map counts_;
        times_map times_;
    };

    /// The times of one service on this router, in two periods. While no roll-out runs, the current one ends
    /// from time to time and the previous one is dropped.
    struct service_times {
        times_map previous_;
        times_map current_;
        state::time_point began_;
    };

    static auto add_report(evidence_sums& sums, const roll_out_report& report) -> void;
    auto share_of(const progress& item, state::time_point now) const -> double;
    auto sum_counts(report_scope scope, state::time_point now) const -> evidence_sums;
    /// Sums the own counts and the received ones within the scope, without reports of scope `all`, which
    /// overlap.
    auto sum_partial_reports(report_scope scope, state::time_point now) const -> evidence_sums;
    auto is_worse(const progress& item, const counts_map& all) const -> bool;
    /// Compares the times of both versions; accepts the new version, halts it or leaves it undecided.
    auto judge_times(progress& item, const times_map& all, state::time_point now) -> void;

    std::map<state::service_name, progress> services_;
    /// The largest number of endpoints of one version that was ever listed. Endpoints that crash or register
    /// late must not change a share that sessions were already assigned by.
    std::map<state::service_name, std::size_t> max_fleet_sizes_;
    counts_map own_;
    std::map<state::service_name, service_times> own_times_;
    std::map<state::instance_id, received_report> received_;
    state::time_point judged_at_;
};

} // namespace buckthorndale::coordination::forwarding

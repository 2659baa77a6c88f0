#pragma once

#include "coordination/forwarding/report_scope.hpp"
#include "coordination/forwarding/version_choice.hpp"
#include "coordination/roll_out/evidence.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/staged_roll_out.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Answers of one version on one route from one group of endpoints.
struct evidence_key {
    state::service_name service_;
    state::version_name version_;
    std::string route_;
    /// Endpoints are counted in a few groups, so that reports stay short in large deployments.
    std::int32_t endpoint_group_{0};

    auto operator<=>(const evidence_key&) const = default;
};

/// Counts under one key, since the counting routers started.
struct evidence_count {
    evidence_key key_;
    roll_out::evidence counts_;
};

/// How long a router has known an order, and whether it has found the new version worse.
struct roll_out_age {
    state::service_name service_;
    std::uint64_t created_{0};
    state::duration age_{0};
    bool is_halted_{false};
};

/// What one router tells the others about roll-outs.
struct roll_out_report {
    /// Changes when the reporting process starts anew.
    state::incarnation life_;
    std::vector<evidence_count> counts_;
    std::vector<roll_out_age> ages_;
};

/// A state that should be recorded for a roll-out.
struct roll_out_step {
    state::service_name service_;
    state::version_name target_;
    state::staged_roll_out_state state_{state::staged_roll_out_state::running};
    /// The revision of the record that was looked at.
    std::uint64_t revision_{0};

    auto operator==(const roll_out_step&) const -> bool = default;
};

/// Moves services to new versions in stages, by time and evidence, and back when a version proves worse.
/// Every router runs it; the sums that they exchange keep them together, and whoever writes first
/// records a step.
class service_roll_outs {
public:
    /// Takes over the orders as they are recorded.
    auto update(const std::vector<state::staged_roll_out>& orders, state::time_point now) -> void;

    /// Notes the endpoints that are listed. The more a service has, the smaller is the share that a new
    /// version begins with.
    ///
    /// Load pattern: hundreds of sessions are under way when a roll-out begins, and some go on at another
    /// router, which does not know them. Those that fall into the share change their version.
    auto note_endpoints(const std::vector<state::registered_endpoint>& endpoints) -> void;

    /// Counts an answer of this router.
    auto record(const state::service_name& service, const state::version_name& version,
                const std::string& route, const state::endpoint_id& endpoint, bool is_good) -> void;

    /// Takes over what another router reports; its earlier report is replaced.
    auto hear(const state::instance_id& from, report_scope scope, const roll_out_report& report,
              state::time_point now) -> void;

    /// What others should know; empty while no roll-out runs.
    auto report(report_scope scope, state::incarnation life, state::time_point now) const -> roll_out_report;

    /// Which versions a request may run on. `versions` are those on offer, the longest known first.
    /// `draw` is the request's position in the share, from 0 to 1.
    auto choose(const state::service_name& service, const std::vector<state::version_name>& versions,
                const std::optional<state::version_name>& pinned, double draw, state::time_point now) const
        -> version_choice;

    /// Looks at the evidence. Returns the services whose new version was found worse just now.
    auto judge(state::time_point now) -> std::vector<state::service_name>;

    /// The steps that should be recorded now.
    auto steps(state::time_point now) const -> std::vector<roll_out_step>;

    /// The part of new requests that goes to the new version, from 0 to 1.
    auto share(const state::service_name& service, state::time_point now) const -> double;

    auto is_running() const -> bool;

private:
    struct progress {
        state::staged_roll_out order_;
        state::time_point began_;
        /// Since when this process knows the order; a process that started later has heard little.
        state::time_point seen_at_;
        bool is_halted_{false};
    };

    /// The newest report of one other router.
    struct heard_report {
        report_scope scope_{report_scope::own};
        roll_out_report report_;
        state::time_point at_;
    };

    using counts_map = std::map<evidence_key, roll_out::evidence>;

    auto share_of(const progress& item, state::time_point now) const -> double;
    auto sums(report_scope scope, state::time_point now) const -> counts_map;
    /// The own answers and those heard of, without totals of others.
    auto added_up(report_scope scope, state::time_point now) const -> counts_map;
    auto is_worse(const progress& item, const counts_map& all) const -> bool;

    std::map<state::service_name, progress> services_;
    /// The most endpoints of one version that were ever listed. Endpoints that crash or come late must not
    /// change a share that sessions were placed by.
    std::map<state::service_name, std::size_t> largest_fleets_;
    counts_map own_;
    std::map<state::instance_id, heard_report> heard_;
};

} // namespace buckthorndale::coordination::forwarding

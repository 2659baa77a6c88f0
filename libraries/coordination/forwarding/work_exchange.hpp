#pragma once

#include "coordination/forwarding/endpoint_work.hpp"
#include "coordination/forwarding/report_scope.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// What a router tells of the work that endpoints have, for each kind of listener.
struct work_report {
    std::vector<endpoint_work> own_;
    std::vector<endpoint_work> subtree_;
    std::vector<endpoint_work> all_;
};

/// Adds up what the routers have sent to each endpoint. Reports go the way that those on versions go: from
/// followers to a watcher, from watchers to each other, and back as sums.
///
/// Load pattern: dozens of routers each keep a few of an endpoint's requests. By its own requests none can
/// tell an endpoint with a second's queue of long prompts from an idle one.
class work_exchange {
public:
    /// Takes over what another router reports; its earlier report is replaced.
    auto hear(const state::instance_id& from, report_scope scope, const std::vector<endpoint_work>& work,
              state::time_point now) -> void;

    /// What to tell, given this router's own work.
    auto report(const std::vector<endpoint_work>& own, state::time_point now) -> work_report;

    /// What the other routers have sent to each endpoint.
    auto remote_work(state::time_point now) const -> std::vector<endpoint_work>;

private:
    using work_map = std::map<state::endpoint_id, state::duration>;

    struct received_report {
        report_scope scope_{report_scope::own};
        std::vector<endpoint_work> work_;
        state::time_point received_at_;
    };

    /// Reports come four times a second; what is older than this was about requests that are over by now.
    static constexpr state::duration max_report_age{std::chrono::milliseconds{1000}};

    /// A report to all routers stays within half a kilobyte, however many endpoints there are.
    static constexpr std::size_t max_reported_endpoints{24};

    auto add_received(work_map& sums, report_scope scope, state::time_point now) const -> void;
    static auto to_vector(const work_map& sums) -> std::vector<endpoint_work>;
    /// The endpoints with the most work; the rest are as good as idle beside them.
    static auto busiest(std::vector<endpoint_work> work) -> std::vector<endpoint_work>;

    std::map<state::instance_id, received_report> received_;
    /// What this router told last; the sums that come back contain it.
    std::vector<endpoint_work> last_reported_;
};

} // namespace buckthorndale::coordination::forwarding

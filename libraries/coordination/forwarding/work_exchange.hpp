#pragma once

#include "coordination/forwarding/endpoint_work.hpp"
#include "coordination/forwarding/report_scope.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The work queued at endpoints as a router reports it, in each scope.
struct work_report {
    std::vector<endpoint_work> own_;
    std::vector<endpoint_work> subtree_;
    std::vector<endpoint_work> all_;
};

/// Sums the work that the routers have queued at each endpoint. Reports take the same path as those of
/// roll-outs: from followers to a watcher, between watchers, and back to the followers as sums.
///
/// Load pattern: dozens of routers with a few requests each at an endpoint. From its own requests alone, none
/// can tell an endpoint with one second of queued prompts from an idle one.
class work_exchange {
public:
    /// Stores a report of another router; it replaces that router's previous one.
    auto hear(const state::instance_id& from, report_scope scope, const std::vector<endpoint_work>& work,
              state::time_point now) -> void;

    /// Builds the report to send, given this router's own work.
    auto report(const std::vector<endpoint_work>& own, state::time_point now) -> work_report;

    /// The work that the other routers have queued at each endpoint.
    auto remote_work(state::time_point now) const -> std::vector<endpoint_work>;

private:
    using work_map = std::map<state::endpoint_id, state::duration>;

    struct received_report {
        report_scope scope_{report_scope::own};
        std::vector<endpoint_work> work_;
        state::time_point received_at_;
    };

    /// Reports arrive four times a second; the requests in older ones than this have finished by now.
    static constexpr state::duration max_report_age{std::chrono::milliseconds{1000}};

    /// Keeps a report to all routers within half a kilobyte, however many endpoints there are.
    static constexpr std::size_t max_reported_endpoints{24};

    auto add_received(work_map& sums, report_scope scope, state::time_point now) const -> void;
    static auto to_vector(const work_map& sums) -> std::vector<endpoint_work>;
    /// The endpoints with the most work; the others are nearly idle in comparison.
    static auto busiest(std::vector<endpoint_work> work) -> std::vector<endpoint_work>;

    std::map<state::instance_id, received_report> received_;
    /// The own work in this router's last report; the sums received from others contain it.
    std::vector<endpoint_work> last_reported_;
};

} // namespace buckthorndale::coordination::forwarding

#pragma once

#include "coordination/time/seeded_random.hpp"
#include "state/bill_key.hpp"
#include "state/identifiers.hpp"
#include "state/instance_list.hpp"
#include "state/version_key.hpp"
#include "world/coverage_counters.hpp"
#include "world/fake_platform.hpp"
#include "world/scheduler.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace buckthorndale::tests::world {

/// The faults of what lies between the processes.
struct environment_faults {
    bool is_platform_down_{false};
    bool is_platform_slow_{false};
    /// The chance that a write takes effect and its answer is lost.
    double lost_answers_{0};
    /// Pairs (from, to) over which nothing passes.
    std::set<std::pair<std::string, std::string>> cuts_;
    /// The version whose answers are all rated low.
    std::optional<state::version_key> bad_version_;
};

/// What the nodes, endpoints and callers of one run share.
struct simulation_context {
    explicit simulation_context(std::uint64_t seed) : random_{seed}, clock_{time_} {}

    auto is_cut(const std::string& from, const std::string& to) const -> bool
    {
        return faults_.cuts_.contains({from, to});
    }

    /// A delay on the network, from 0.2 ms to 2 ms.
    auto network_delay() -> state::duration { return state::duration{200 + random_.below(1800)}; }

    /// A line of the trace; kept short so that the last lines explain a breach.
    auto append_trace(const std::string& line) -> void
    {
        constexpr auto max_trace_lines = std::size_t{200'000};
        if (trace_.size() == max_trace_lines)
            trace_.pop_front();
        if (on_trace_line_)
            on_trace_line_(line);
        trace_.push_back(std::to_string(time_.now().time_since_epoch().count()) + " " + line);
    }

    coordination::time::seeded_random random_;
    scheduler time_;
    virtual_clock clock_;
    fake_platform platform_;
    environment_faults faults_;
    coverage_counters coverage_;
    /// The instances that ever held a bill.
    std::map<state::bill_key, std::set<state::instance_id>> bill_holders_;
    /// Bills whose answer was finished while no instance but one could be reached.
    std::set<state::bill_key> single_holder_bills_;
    /// The true instances, and the list as it is told, which lags.
    state::instance_list actual_list_;
    state::instance_list published_list_;
    std::deque<std::string> trace_;
    /// Called with each line of the trace; the fault matrix waits for its steps by it.
    std::function<void(const std::string&)> on_trace_line_;
};

inline constexpr auto platform_name = "platform";
inline constexpr auto platform_timeout = state::duration{std::chrono::seconds{2}};

} // namespace buckthorndale::tests::world

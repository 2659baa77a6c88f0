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

/// Active faults of the network, the platform and the ratings.
struct environment_faults {
    bool is_platform_down_{false};
    bool is_platform_slow_{false};
    /// The probability that a platform call takes effect but its answer is lost.
    double lost_answers_{0};
    /// Links, as pairs (from, to), that drop all traffic.
    std::set<std::pair<std::string, std::string>> cuts_;
    /// The version whose answers all get a low rating.
    std::optional<state::version_key> bad_version_;
};

/// State shared by the instances, endpoints and callers of one run.
struct simulation_context {
    explicit simulation_context(std::uint64_t seed) : random_{seed}, clock_{time_} {}

    auto is_cut(const std::string& from, const std::string& to) const -> bool
    {
        return faults_.cuts_.contains({from, to});
    }

    /// A random network delay from 0.2 ms to 2 ms.
    auto network_delay() -> state::duration { return state::duration{200 + random_.below(1800)}; }

    /// Appends a line to the trace, which keeps only the latest lines; they are printed after a breach.
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
    /// The instances that have held each bill.
    std::map<state::bill_key, std::set<state::instance_id>> bill_holders_;
    /// Bills whose answer was completed while a single instance held the bill.
    std::set<state::bill_key> single_holder_bills_;
    /// The current list of instances and endpoints, and the published list, which lags behind it.
    state::instance_list actual_list_;
    state::instance_list published_list_;
    std::deque<std::string> trace_;
    /// Called with each trace line; the fault matrix uses it to detect its steps.
    std::function<void(const std::string&)> on_trace_line_;
};

inline constexpr auto platform_name = "platform";
inline constexpr auto platform_timeout = state::duration{std::chrono::seconds{2}};

} // namespace buckthorndale::tests::world

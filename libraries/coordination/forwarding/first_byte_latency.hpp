#pragma once

#include "state/units.hpp"

#include <map>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// Moving average of the time to first byte for each route, as a fraction of its latency objective.
class first_byte_latency {
public:
    auto record(const std::string& route, state::duration time, state::duration objective) -> void
    {
        const auto ratio = std::chrono::duration<double>(time) / std::chrono::duration<double>(objective);
        auto& known = ratios_[route];
        known += sample_weight * (ratio - known);
    }

    /// 1 when the time to first byte equals the objective; 0 without samples.
    auto objective_ratio(const std::string& route) const -> double
    {
        const auto found = ratios_.find(route);
        return found == ratios_.end() ? 0.0 : found->second;
    }

private:
    /// Averages over about the last eight answers.
    static constexpr double sample_weight{0.12};

    std::map<std::string, double> ratios_;
};

} // namespace buckthorndale::coordination::forwarding

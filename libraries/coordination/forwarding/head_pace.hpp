#pragma once

#include "state/units.hpp"

#include <map>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// How long heads of answers take at present, for each route, against its latency objective.
class head_pace {
public:
    auto record(const std::string& route, state::duration time, state::duration objective) -> void
    {
        const auto part = std::chrono::duration<double>(time) / std::chrono::duration<double>(objective);
        auto& known = parts_[route];
        known += newest_weight * (part - known);
    }

    /// 0 while heads come at once; 1 when they take the whole objective.
    auto pressure(const std::string& route) const -> double
    {
        const auto found = parts_.find(route);
        return found == parts_.end() ? 0.0 : found->second;
    }

private:
    /// About the last eight answers count.
    static constexpr double newest_weight{0.12};

    std::map<std::string, double> parts_;
};

} // namespace buckthorndale::coordination::forwarding

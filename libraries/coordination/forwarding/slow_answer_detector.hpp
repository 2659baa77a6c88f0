#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// What is usual for answers on one route by one model; finds answers that are far slower.
class slow_answer_detector {
public:
    /// Notes an answer: its time a unit, which is an event for streams and the whole for others.
    auto record(const std::string& route, const state::model_name& model, state::duration time) -> void;

    /// Whether the time is several times what is usual. False while too little is known.
    auto is_slow(const std::string& route, const state::model_name& model, state::duration time) const
        -> bool;

private:
    struct baseline {
        double mean_us_{0};
        std::int64_t samples_{0};
    };

    std::map<std::pair<std::string, state::model_name>, baseline> baselines_;
};

} // namespace buckthorndale::coordination::forwarding

#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// Detects answers that are much slower than the moving average of their route and model.
class slow_answer_detector {
public:
    /// Records the time of an answer: the time per event for streams, the total time for others.
    auto record(const std::string& route, const state::model_name& model, state::duration time) -> void;

    /// Whether the time is several times the average. False while there are too few samples.
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

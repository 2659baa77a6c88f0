#pragma once

#include "coordination/cascade/pass_rates.hpp"
#include "coordination/time/seeded_random.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Measures the shipped decisions on modelled traffic, against baselines and bounds.
namespace buckthorndale::utilities::policy_measurement {

enum class cascade_policy : std::uint8_t {
    /// The shipped planner with the shipped learning.
    planned,
    always_dearest,
    always_cheapest,
    /// The cheapest first, always, and the dearest after a low rating.
    static_cascade,
    /// Knows each answer's quality in advance; no policy costs less at the same quality.
    oracle,
};

auto to_string(cascade_policy policy) -> std::string;

/// One kind of request: how many there are, and how often the cheap and the dear version do well.
struct request_kind {
    std::string name_;
    double share_{0};
    double cheap_pass_rate_{0};
    double dear_pass_rate_{0};
};

/// A deployment's traffic and prices.
struct cascade_model {
    std::string name_;
    std::vector<request_kind> kinds_;
    double cheap_cost_{1};
    double dear_cost_{20};
    /// The chance that a rating is wrong.
    double rating_error_{0.03};
};

/// What one run of a policy came to.
struct cascade_result {
    double cost_{0};
    /// The part of answers that truly reached the target.
    double good_{0};
};

/// The two deployments.
auto cascade_models() -> std::vector<cascade_model>;

/// Runs a policy over so many requests.
auto run_cascade(const cascade_model& model, cascade_policy policy, std::uint64_t seed, int requests)
    -> cascade_result;

} // namespace buckthorndale::utilities::policy_measurement

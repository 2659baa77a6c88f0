#pragma once

#include <cstdint>
#include <optional>

namespace buckthorndale::utilities::policy_measurement {

/// What finds a version that turns bad in full service.
enum class service_policy : std::uint8_t {
    /// The shipped cumulative sum test, with the shipped sampling.
    shipped,
    /// The rate of bad answers among the last 200 sampled ones, against the usual rate.
    window,
    /// The sequential test of a roll-out on all counts so far.
    all_counts,
};

/// A version in full service that turns bad.
struct service_model {
    double usual_bad_rate_{0.05};
    /// Rise of the rate of bad answers, as a part of 1.
    double harm_{0.10};
    /// Answers before it turns.
    int answers_before_{50'000};
    double sample_share_{0.2};
};

/// The answers that the version gave after it turned and before it was found, or nothing if it never was.
/// An alarm before the turn counts as -1.
auto answers_after_turn(const service_model& model, service_policy policy, std::uint64_t seed, int most)
    -> std::optional<int>;

/// A lower bound for any test with one false alarm in 10^8 answers that sees every answer
/// (G. Lorden, Procedures for Reacting to a Change in Distribution, Annals of Statistics 1971).
auto shortest_delay(const service_model& model) -> double;

} // namespace buckthorndale::utilities::policy_measurement

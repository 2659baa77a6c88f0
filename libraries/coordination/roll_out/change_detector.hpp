#pragma once

#include "coordination/roll_out/evidence.hpp"

#include <array>

namespace buckthorndale::coordination::roll_out {

/// Detects that a version which served well has degraded, with two of Page's cumulative sum (CUSUM) tests
/// (E. S. Page, Continuous Inspection Schemes, Biometrika 1954): one for small and one for large degradation.
/// A long good history does not delay detection. The baseline rate of bad answers is estimated from the
/// answers themselves.
class change_detector {
public:
    /// Adds a batch of answers, which may come from another router.
    auto add(const evidence& batch) -> void;

    /// Whether the version has degraded. Stays true until reset().
    auto has_degraded() const -> bool { return largest_sum() >= threshold; }

    /// Whether degradation is suspected, so that more answers should be rated.
    auto is_suspicious() const -> bool { return largest_sum() >= threshold * suspicion_fraction; }

    /// Clears the sums and the pending answers; keeps the baseline.
    auto reset() -> void;

private:
    auto largest_sum() const -> double;
    auto baseline_rate() const -> double;
    auto update_baseline() -> void;

    /// The log-likelihood ratio at which the alarm is raised: about one false alarm in 10^8 answers.
    static constexpr double threshold{18.0};
    static constexpr double suspicion_fraction{0.125};
    /// The increases of the rate of bad answers that the sums are tuned to detect.
    static constexpr std::array<double, 2> degradations{0.08, 0.40};
    /// The baseline needs the minimum before anything is judged; above the maximum, its counts are scaled
    /// down.
    static constexpr double min_baseline_answers{500.0};
    static constexpr double max_baseline_answers{20'000.0};

    double baseline_good_{0};
    double baseline_bad_{0};
    /// Answers since all sums were last zero. They join the baseline when the sums return to zero.
    evidence pending_;
    std::array<double, degradations.size()> sums_{};
};

} // namespace buckthorndale::coordination::roll_out

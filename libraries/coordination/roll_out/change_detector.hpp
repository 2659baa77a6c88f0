#pragma once

#include "coordination/roll_out/evidence.hpp"

#include <array>

namespace buckthorndale::coordination::roll_out {

/// Finds when a version that served well turns bad, by Page's cumulative sum test (E. S. Page, Continuous
/// Inspection Schemes, Biometrika 1954), one for small and one for large harm. A long good past does not slow
/// it down. The rate of bad answers
/// that counts as usual is learned from the answers themselves.
class change_detector {
public:
    /// Takes further answers in; a batch may come from another router.
    auto add(const evidence& batch) -> void;

    /// Whether the version has turned bad. This stays so until reset().
    auto has_degraded() const -> bool { return largest_sum() >= threshold; }

    /// Whether there are signs of it, so that more answers should be looked at.
    auto is_suspicious() const -> bool { return largest_sum() >= threshold * suspicion_fraction; }

    /// Forgets the signs, not the usual rate.
    auto reset() -> void;

private:
    auto largest_sum() const -> double;
    auto baseline_rate() const -> double;
    auto update_baseline() -> void;

    /// The logarithm of the odds at which the alarm is raised: about one false alarm in 10^8 answers.
    static constexpr double threshold{18.0};
    static constexpr double suspicion_fraction{0.125};
    /// The rises of the rate of bad answers that the sums are best at finding.
    static constexpr std::array<double, 2> degradations{0.08, 0.40};
    /// Answers that the usual rate is learned from before anything is judged, and at most.
    static constexpr double min_baseline_answers{500.0};
    static constexpr double max_baseline_answers{20'000.0};

    double baseline_good_{0};
    double baseline_bad_{0};
    /// Answers since there were no signs; they count as usual once the signs are gone.
    evidence pending_;
    std::array<double, degradations.size()> sums_{};
};

} // namespace buckthorndale::coordination::roll_out

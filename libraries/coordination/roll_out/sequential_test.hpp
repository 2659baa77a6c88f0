#pragma once

#include "coordination/roll_out/evidence.hpp"
#include "state/profile.hpp"

#include <cstdint>

namespace buckthorndale::coordination::roll_out {

/// The verdict on a new version compared with the one it replaces.
enum class sequential_test_verdict : std::uint8_t { undecided, no_worse, worse };

struct sequential_test_settings {
    /// The smallest increase of the rate of bad answers, as a fraction, that must be detected.
    double min_degradation_{0.10};
    /// The probability of halting a version that is no worse (type I error).
    double false_halt_rate_{0.02};
    /// The probability of passing a version that is worse by min_degradation_ (type II error).
    double false_pass_rate_{0.01};
};

/// Emphasis on exposure detects smaller degradation and halts earlier; emphasis on latency needs more
/// evidence to halt.
auto settings_for(state::roll_out_emphasis emphasis) -> sequential_test_settings;

/// Wald's sequential probability ratio test of the new version's rate of bad answers against that of the base
/// version (A. Wald, Sequential Tests of Statistical Hypotheses, 1945). It needs only sums, so the counts of
/// several instances can be added up first.
auto judge(const evidence& base, const evidence& candidate, const sequential_test_settings& settings)
    -> sequential_test_verdict;

/// The expected number of answers until Wald's test detects a version whose rate is worse by `degradation`.
auto expected_sample_size(double base_rate, double degradation, const sequential_test_settings& settings)
    -> double;

} // namespace buckthorndale::coordination::roll_out

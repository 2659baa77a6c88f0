#pragma once

#include "coordination/roll_out/evidence.hpp"
#include "state/profile.hpp"

#include <cstdint>

namespace buckthorndale::coordination::roll_out {

/// What the evidence says about a new version.
enum class sequential_test_verdict : std::uint8_t { undecided, no_worse, worse };

/// Settings of the sequential test.
struct sequential_test_settings {
    /// The smallest rise of the rate of bad answers that must be found, as a part of 1.
    double min_degradation_{0.10};
    /// The chance of halting a version that is no worse.
    double false_halt_rate_{0.02};
    /// The chance of passing a version that is worse by the smallest harm.
    double false_pass_rate_{0.01};
};

/// Exposure first finds smaller harm and halts more readily; latency first asks for more evidence to halt.
auto settings_for(state::roll_out_emphasis emphasis) -> sequential_test_settings;

/// Wald's sequential probability ratio test of the new version's rate of bad answers against the
/// base version's (A. Wald, Sequential Tests of Statistical Hypotheses, 1945). It needs only sums,
/// so the counts of several instances can be added up first.
auto judge(const evidence& base, const evidence& candidate, const sequential_test_settings& settings)
    -> sequential_test_verdict;

/// The number of answers after which Wald's test is expected to find a version that is worse by `harm`.
auto expected_sample_size(double base_rate, double degradation, const sequential_test_settings& settings)
    -> double;

} // namespace buckthorndale::coordination::roll_out

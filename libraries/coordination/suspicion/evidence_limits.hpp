#pragma once

#include "state/units.hpp"

#include <cstddef>

namespace buckthorndale::coordination::suspicion {

/// The evidence for a verdict of part_suspects, in crashes, and how soon it is put to the test. The defaults
/// are for parts of prompts.
struct evidence_limits {
    /// By weight. A request is in progress at two by chance often enough, but rarely at three.
    double min_evidence_{3.0};
    /// The same for a part on which answers had begun not long before.
    double min_evidence_against_sound_{4.0};
    std::size_t min_crashes_{3};
    /// If two parts were present at the same crashes, another crash may tell them apart.
    std::size_t min_crashes_in_doubt_{4};
    /// Between the verdict and the first trial, which costs another crash if the verdict is right.
    state::duration first_trial_interval_{std::chrono::seconds{15}};
    /// Requests are sent again as soon as an instance sees the crash, before the others hear of it; so an
    /// attempt sent up to this long before counts as one after it.
    state::duration max_report_delay_{std::chrono::milliseconds{50}};
    /// Whether only crashes that each ended an attempt sent after the one before are evidence, however close
    /// in time; otherwise crashes at one time count as one.
    bool counts_only_sequence_{false};
};

/// For the contents of whole requests. Few requests have the same one, so two crashes in sequence are no
/// chance, and few callers wait for a trial.
inline constexpr auto content_evidence_limits =
    evidence_limits{.min_evidence_ = 2.0,
                    .min_crashes_ = 2,
                    .min_crashes_in_doubt_ = 3,
                    .first_trial_interval_ = std::chrono::minutes{1},
                    .max_report_delay_ = state::duration::zero(),
                    .counts_only_sequence_ = true};

} // namespace buckthorndale::coordination::suspicion

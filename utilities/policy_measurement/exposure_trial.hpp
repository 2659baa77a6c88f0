#pragma once

#include "coordination/roll_out/sequential_test.hpp"

#include <cstdint>
#include <optional>

namespace buckthorndale::utilities::policy_measurement {

/// A version that is rolled out and is worse than the one it replaces.
struct exposure_model {
    double base_bad_rate_{0.08};
    /// Added to the rate of bad answers.
    double harm_{0};
    /// Routers that each see a part of the answers.
    int routers_{8};
    /// Answers of the new version, over all routers, between two exchanges of evidence.
    int answers_between_exchanges_{16};
};

/// The number of answers that the new version gave before every router had halted it, by the shipped test
/// on exchanged evidence. Nothing when it was not halted within `most`.
auto answers_until_halt(const exposure_model& model,
                        const coordination::roll_out::sequential_test_settings& settings, std::uint64_t seed,
                        int most) -> std::optional<int>;

} // namespace buckthorndale::utilities::policy_measurement

#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <string>

/// Model cascades: which versions a request tries, and in what order.
namespace buckthorndale::coordination::cascade {

/// Identifies one pass rate.
struct pass_rate_key {
    state::workspace_id workspace_;
    std::string request_type_;
    state::version_key version_;

    auto operator<=>(const pass_rate_key&) const = default;
};

/// Estimates how often a version's answers reach the quality target, for each workspace and request type.
/// Old evidence decays exponentially, so that the estimate follows changes in a version's quality.
class pass_rates {
public:
    /// Records whether one rated answer reached the target.
    auto record(const pass_rate_key& key, bool has_passed) -> void;

    /// The expected pass rate, from 0 to 1; the prior if there is no evidence.
    auto estimate(const pass_rate_key& key, state::permille prior) const -> double;

    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct evidence {
        double passed_{0};
        double failed_{0};
    };

    /// The prior is weighted as this many answers.
    static constexpr double prior_weight{8.0};
    /// Each new answer scales the old evidence by this factor, so that about the last 200 answers count.
    static constexpr double decay_factor{0.995};
    static constexpr std::size_t max_entries{8192};

    std::map<pass_rate_key, evidence> entries_;
};

} // namespace buckthorndale::coordination::cascade

#pragma once

#include "coordination/cascade/pass_rates.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace buckthorndale::coordination::routing {

/// An answer that was given out already and is rated only to learn about its version.
struct quality_sample {
    cascade::pass_rate_key subject_;
    state::profile_name profile_;
    state::permille target_;
    state::time_point requested_at_;
};

/// The samples whose rating has not come yet.
class sample_table {
public:
    /// Remembers a sample; beyond the bound it is let go, which loses evidence and nothing else.
    auto open(state::attempt_handle attempt, quality_sample sample) -> void;

    /// Takes a sample out, or nothing when the attempt is not one.
    auto take(state::attempt_handle attempt) -> std::optional<quality_sample>;

    /// Forgets the samples that were asked about before the time.
    auto forget_before(state::time_point time) -> void;

    auto size() const -> std::size_t { return samples_.size(); }

private:
    static constexpr std::size_t max_samples{4096};

    std::map<state::attempt_handle, quality_sample> samples_;
};

} // namespace buckthorndale::coordination::routing

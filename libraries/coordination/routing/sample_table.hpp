#pragma once

#include "coordination/cascade/pass_rates.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace buckthorndale::coordination::routing {

/// An answer that was already sent and is rated only as evidence on its version.
struct quality_sample {
    cascade::pass_rate_key subject_;
    state::profile_name profile_;
    state::permille target_;
    state::time_point requested_at_;
};

/// The samples that are waiting for a rating.
class sample_table {
public:
    /// Adds a sample. It is dropped if the table is full, which loses only evidence.
    auto open(state::attempt_handle attempt, quality_sample sample) -> void;

    /// Removes and returns the sample of the attempt, if there is one.
    auto take(state::attempt_handle attempt) -> std::optional<quality_sample>;

    /// Removes the samples whose rating was requested before the given time.
    auto forget_before(state::time_point time) -> void;

    auto size() const -> std::size_t { return samples_.size(); }

private:
    static constexpr std::size_t max_samples{4096};

    std::map<state::attempt_handle, quality_sample> samples_;
};

} // namespace buckthorndale::coordination::routing

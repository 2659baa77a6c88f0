#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace buckthorndale::state {

/// What a profile avoids first while a version is being rolled out.
enum class roll_out_emphasis : std::uint8_t {
    /// Answers from a bad version: smaller regressions are tested for, and less evidence halts a version.
    exposure,
    /// Late answers: a version is halted on more evidence, so that good versions are rarely delayed.
    latency,
};

/// The versions that a workspace may use, with the quality target and the cost limit of its requests.
struct profile {
    profile_name name_;
    /// The allowed versions, in no particular order.
    std::vector<version_key> versions_;
    /// The rating that an answer needs to be returned without escalation; 0 disables ratings.
    permille quality_target_;
    /// The maximum cost of a request over all of its attempts; 0 means no limit.
    micro_credits cost_limit_;
    /// The default time limit of a request, for callers that set none.
    duration deadline_{std::chrono::seconds{30}};
    roll_out_emphasis emphasis_{roll_out_emphasis::exposure};

    auto lists(const version_key& version) const -> bool
    {
        return std::ranges::find(versions_, version) != versions_.end();
    }

    auto operator==(const profile&) const -> bool = default;
};

} // namespace buckthorndale::state

#pragma once

#include "state/units.hpp"
#include "state/version_key.hpp"

#include <map>

namespace buckthorndale::coordination::routing {

/// Running means of what a version's answers take, for planning.
class version_statistics {
public:
    /// Records one whole answer.
    auto record(const state::version_key& version, state::token_count tokens, state::duration elapsed)
        -> void;

    /// Mean tokens of an answer; of a version that is not known yet, the mean of those that are, so that
    /// it looks neither cheaper nor dearer than its price makes it.
    auto mean_tokens(const state::version_key& version) const -> double;

    /// Mean time of an answer, queueing at the endpoint included; for an unknown version as above.
    auto mean_time(const state::version_key& version) const -> state::duration;

private:
    struct means {
        double tokens_{0};
        double microseconds_{0};
    };

    auto average() const -> means;

    std::map<state::version_key, means> means_;
};

} // namespace buckthorndale::coordination::routing

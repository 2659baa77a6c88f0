#pragma once

#include "state/units.hpp"
#include "state/version_key.hpp"

#include <map>

namespace buckthorndale::coordination::routing {

/// Moving averages of the tokens and time of each version's answers, for planning.
class version_statistics {
public:
    /// Records one complete answer.
    auto record(const state::version_key& version, state::token_count tokens, state::duration elapsed)
        -> void;

    /// Mean tokens per answer. For an unknown version it is the mean over the known ones, so that the
    /// estimated cost depends only on the version's price.
    auto mean_tokens(const state::version_key& version) const -> double;

    /// Mean time per answer, including queueing at the endpoint; an unknown version is handled as above.
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

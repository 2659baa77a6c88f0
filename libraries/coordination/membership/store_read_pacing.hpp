#pragma once

#include "state/units.hpp"

#include <algorithm>
#include <optional>

namespace buckthorndale::coordination::membership {

/// The pauses between reads of the store after reads that failed, were refused, or lost their history. All
/// instances lose the store at the same moment, so each pause is drawn at random.
class store_read_pacing {
public:
    /// The pause before the next read; `draw` is from 0 to 1.
    auto pause(state::time_point now, double draw) -> state::duration
    {
        const auto was_calm = !last_ || now - *last_ > calm_period;
        mean_ = was_calm ? first_mean : std::min(mean_ * 2, max_mean);
        // From half to one and a half times the mean.
        const auto pause = state::duration{
            static_cast<state::duration::rep>(static_cast<double>(mean_.count()) * (0.5 + draw))};
        last_ = now + pause;
        return pause;
    }

private:
    static constexpr state::duration first_mean{std::chrono::milliseconds{200}};
    /// Calls are paid even when they are refused, but changes must be in force within two seconds of the
    /// store's return.
    static constexpr state::duration max_mean{std::chrono::milliseconds{700}};
    /// Reads that succeed for this long end a series of failures.
    static constexpr state::duration calm_period{std::chrono::seconds{2}};

    state::duration mean_{first_mean};
    /// The end of the last pause.
    std::optional<state::time_point> last_;
};

} // namespace buckthorndale::coordination::membership

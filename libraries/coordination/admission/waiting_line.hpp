#pragma once

#include "coordination/admission/line_order.hpp"
#include "coordination/admission/waiting_request.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace buckthorndale::coordination::admission {

/// The requests that wait for a service, in the order in which they start: the more urgent ones first and,
/// among equally urgent ones, by arrival or so that each workspace gets an equal part of the endpoints' time
/// (start-time fair queueing: Goyal, Vin and Cheng, SIGCOMM 1996). A part that one workspace leaves unused is
/// for the others. Calls take logarithmic time.
///
/// Load pattern: one or two workspaces send many times their usual. In order of arrival the others would wait
/// behind them and be refused as often.
class waiting_line {
public:
    explicit waiting_line(line_order order) : order_{order} {}

    auto push(const waiting_request& request, state::time_point now) -> void;

    /// Removes a request that does not wait any more without having started.
    auto remove(state::request_handle handle) -> void;

    /// Removes a request that starts.
    auto take(state::request_handle handle, state::time_point now) -> void;

    /// The first request; none if the line is empty.
    auto first() const -> std::optional<state::request_handle>;

    /// The request behind one that waits; none at the end.
    auto after(state::request_handle handle) const -> std::optional<state::request_handle>;

    auto contains(state::request_handle handle) const -> bool { return positions_.contains(handle); }

    auto size() const -> std::size_t { return positions_.size(); }

    auto is_empty() const -> bool { return positions_.empty(); }

    /// How long a request that waits is expected to go on waiting, by the rate at which requests started
    /// lately; nothing until requests have waited for a while, since before that it shows how many came, not
    /// how many there is room for.
    auto expected_wait(state::request_handle handle, state::time_point now) const
        -> std::optional<state::duration>;

    /// Gives a caller that is turned away a time to return, at most `max_delay` from now. Callers get one
    /// place after the other at the rate at which requests start, so that they find room when they are back.
    auto reserve_return(state::duration max_delay, state::time_point now) -> state::duration;

private:
    struct position {
        std::int32_t priority_{0};
        /// The virtual time at which the request starts; the same for all if the order is by arrival.
        double start_{0};
        std::uint64_t number_{0};
        state::request_handle handle_;

        auto operator<=>(const position&) const = default;
    };

    struct lane_key {
        std::int32_t priority_{0};
        state::workspace_id workspace_;

        auto operator<=>(const lane_key&) const = default;
    };

    struct lane {
        std::size_t size_{0};
        /// The virtual time at which the last request of the lane ends.
        double end_{0};
    };

    struct queued {
        position position_;
        state::workspace_id workspace_;
    };

    /// A count of events that fades with time.
    struct recent_count {
        double count_{0};
        state::time_point counted_at_{};

        auto add(state::time_point now) -> void;
        auto at(state::time_point now) const -> double;
    };

    auto starts_per_second(state::time_point now) const -> double;
    auto erase(state::request_handle handle) -> position;

    line_order order_;
    std::uint64_t last_number_{0};
    std::set<position> line_;
    std::map<state::request_handle, queued> positions_;
    std::map<lane_key, lane> lanes_;
    /// The number of requests of each urgency.
    std::map<std::int32_t, std::size_t> sizes_;
    /// The virtual time of each urgency: where the last request that started began.
    std::map<std::int32_t, double> virtual_times_;
    recent_count starts_;
    /// Since when some request has waited at any time.
    state::time_point busy_since_{};
    /// When the next caller may return.
    state::time_point next_return_{};
};

} // namespace buckthorndale::coordination::admission

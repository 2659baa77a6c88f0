#pragma once

#include "state/identifiers.hpp"
#include "state/route.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>

namespace buckthorndale::coordination::forwarding {

/// What is known when the head of a smaller model's answer has come.
struct escalation_query {
    /// The model's own opinion of its answer, from 0 to 100.
    std::int32_t confidence_{0};
    std::int32_t attempts_left_{0};
    state::duration since_arrival_{0};
    state::duration time_left_{0};
    /// When the largest model's answer would begin, counted from now.
    state::duration expected_{0};
};

/// The model to begin with.
auto first_model(const state::route& route) -> state::model_name;

/// The time that a model takes to read a token of a prompt, until answers tell.
///
/// Load pattern: the first seconds after a start, when many prompts come and nothing is known. Without a
/// figure all poor answers would be asked for again at once, from endpoints that have read nothing yet.
auto default_token_time(const state::route& route, const state::model_name& model)
    -> std::chrono::nanoseconds;

/// The model to ask instead of giving out the answer; none when the answer should be given out. The
/// largest model takes ten times the smallest one's time, which others wait for, so it is asked only where
/// its answer can still come in time. The busier the endpoints are, the shorter are the prompts for which
/// that holds.
///
/// Load pattern: full load, and prompts whose lengths differ by a factor of ten.
auto escalation_model(const state::route& route, const state::model_name& current,
                      const escalation_query& query) -> std::optional<state::model_name>;

} // namespace buckthorndale::coordination::forwarding

#pragma once

#include "state/identifiers.hpp"
#include "state/route.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// What is known when the response headers of a smaller model have arrived.
struct escalation_query {
    /// The model's own rating of its answer, from 0 to 100.
    std::int32_t confidence_{0};
    std::int32_t attempts_left_{0};
    state::duration since_arrival_{0};
    state::duration time_left_{0};
    /// The largest model's expected time to first byte.
    state::duration expected_{0};
};

/// The model that a request is sent to first.
auto first_model(const state::route& route) -> state::model_name;

/// The detail of the final answer to a caller that names a model which the route or its endpoints do not
/// have.
auto unknown_model_detail(const state::model_name& model) -> std::string;

/// The time that a model is assumed to take for a prompt token until there are measurements.
///
/// Load pattern: the first seconds after a start, when many prompts arrive before anything was measured.
/// Without a default, all answers of low confidence would be escalated at once, to endpoints with empty
/// prefix caches.
auto default_token_time(const state::route& route, const state::model_name& model)
    -> std::chrono::nanoseconds;

/// The model to escalate to; none when the answer should be returned to the caller. The largest model takes
/// ten times as long as the smallest and delays other requests meanwhile, so requests are escalated only if
/// its answer can still be in time. The busier the endpoints are, the shorter the prompts for which this
/// holds.
///
/// Load pattern: full load, with prompts whose lengths differ by a factor of ten.
auto escalation_model(const state::route& route, const state::model_name& current,
                      const escalation_query& query) -> std::optional<state::model_name>;

} // namespace buckthorndale::coordination::forwarding

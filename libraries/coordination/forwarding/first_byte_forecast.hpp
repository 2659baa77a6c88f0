#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace buckthorndale::coordination::forwarding {

/// How long an endpoint takes from a request to the head of its answer while nothing else waits there, by
/// route and model. The time goes with the length of the prompt, which differs by a factor of ten on one
/// route.
class first_byte_forecast {
public:
    /// Notes an answer's head. A plain request has a length of one.
    auto record(const std::string& route, const state::model_name& model, std::int64_t length,
                state::duration time) -> void;

    /// The time for a prompt of the given length; at the `default_token_time` for each of its units while no
    /// answer of the model was seen on the route.
    auto expected(const std::string& route, const state::model_name& model, std::int64_t length,
                  std::chrono::nanoseconds default_token_time) const -> state::duration;

private:
    struct sums {
        double lengths_{0};
        double times_us_{0};
    };

    std::map<std::pair<std::string, state::model_name>, sums> sums_;
};

} // namespace buckthorndale::coordination::forwarding

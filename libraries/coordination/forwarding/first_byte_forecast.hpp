#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace buckthorndale::coordination::forwarding {

/// Forecasts the time to first byte at an endpoint with an empty queue, by route and model. The time is
/// proportional to the length of the prompt, which differs by a factor of ten on one route.
class first_byte_forecast {
public:
    /// An average over about the last twenty answers.
    first_byte_forecast() = default;

    /// `decay_factor` is what an answer's weight is multiplied by at each later one, below 1.
    explicit first_byte_forecast(double decay_factor) : decay_factor_{decay_factor} {}

    /// Records a time to first byte. A request that is not a prompt has a length of one.
    auto record(const std::string& route, const state::model_name& model, std::int64_t length,
                state::duration time) -> void;

    /// Whether an answer of the model on the route was recorded.
    auto has_average(const std::string& route, const state::model_name& model) const -> bool
    {
        return sums_.contains({route, model});
    }

    /// The time for a prompt of the given length. Assumes `default_token_time` for each token until the model
    /// has answered on the route.
    auto expected(const std::string& route, const state::model_name& model, std::int64_t length,
                  std::chrono::nanoseconds default_token_time) const -> state::duration;

private:
    struct sums {
        double lengths_{0};
        double times_us_{0};
    };

    double decay_factor_{0.95};
    std::map<std::pair<std::string, state::model_name>, sums> sums_;
};

} // namespace buckthorndale::coordination::forwarding

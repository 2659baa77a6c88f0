#pragma once

#include "state/network_address.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Small stand-ins for model engines, plain services and the rating service.
namespace buckthorndale::utilities::endpoint_stand_in {

enum class stand_in_kind : std::uint8_t { engine, service, rating };

struct endpoint_settings {
    stand_in_kind kind_{stand_in_kind::engine};
    state::network_address address_;
    std::vector<state::version_key> versions_;
    /// Requests that run side by side; as many again may queue, and more are declined.
    std::int32_t slots_{8};
    /// Time to the first token for a prompt whose prefix is not cached; a cached one takes a quarter.
    state::duration first_token_{std::chrono::milliseconds{20}};
    state::duration between_tokens_{std::chrono::milliseconds{2}};
    /// Prefixes that the cache holds.
    std::size_t cached_prefixes_{64};
    /// Whether orders with an old fencing number are refused.
    bool is_fencing_{true};
    /// The rating service's score for answers of a version; others get the highest.
    std::map<state::version_key, state::permille> ratings_;
};

/// Throws error of kind invalid_settings.
auto read_endpoint_settings(const std::string& path) -> endpoint_settings;

} // namespace buckthorndale::utilities::endpoint_stand_in

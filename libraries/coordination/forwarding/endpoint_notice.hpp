#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// What an endpoint states in the headers of a response about the requests to come.
struct endpoint_notice {
    /// The endpoint is shutting down and accepts no new requests.
    bool is_leaving_{false};
    /// How long the endpoint wants no more requests from this instance; zero if it asks for no pause.
    state::duration pause_{0};
    /// The requests a second that the endpoint takes from all instances together; 0 if it names no limit, and
    /// unset if the response does not tell.
    std::optional<double> limit_;
    /// How many requests a second the endpoint can turn away before it fails; 0 if it does not say so, and
    /// unset if the response does not tell.
    std::optional<double> max_declines_;
    /// How long the endpoint stays cold; unset if the response does not tell.
    std::optional<state::duration> cold_left_;
    /// The first header value that could not be read; empty if there was none.
    std::string invalid_value_;

    auto asks_for_pause() const -> bool { return pause_ > state::duration::zero(); }

    auto operator==(const endpoint_notice&) const -> bool = default;
};

/// An endpoint that announced its shutdown, with the registration that it had then.
struct leaving_endpoint {
    state::endpoint_id endpoint_;
    /// The start time reported by the endpoint; 0 if it reports none.
    std::uint64_t incarnation_{0};
    std::uint64_t registered_at_{0};

    auto operator==(const leaving_endpoint&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding

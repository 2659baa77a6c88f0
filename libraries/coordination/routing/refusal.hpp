#pragma once

#include "state/error.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <string>

namespace buckthorndale::coordination::routing {

/// Whether a refused request may have run.
enum class run_state : std::uint8_t {
    /// No byte of any attempt was sent, or the endpoints reported that they did no work.
    not_run,
    /// The request may have run.
    unknown,
};

/// The final answer to a request that could not be served.
struct refusal {
    state::error_kind kind_{state::error_kind::no_capacity};
    run_state run_{run_state::not_run};
    /// Delay before a retry; zero if retrying does not help.
    state::duration retry_after_{0};
    /// One sentence on the cause, and one on the remedy.
    std::string detail_;
};

} // namespace buckthorndale::coordination::routing

#pragma once

#include <cstdint>
#include <string_view>

namespace buckthorndale::state {

/// The guarantees that hold in every state of the system. Each invariant names the one that it protects.
enum class guarantee : std::uint8_t {
    allowed_version,
    no_work_when_withdrawn,
    session_keeps_version,
    billed_once,
    whole_answer,
    not_run_is_true,
    at_most_once,
    leaving_endpoint_avoided,
    graceful_shutdown,
    configuration_moves_forward,
    internal_consistency,
};

auto to_string(guarantee which) -> std::string_view;

} // namespace buckthorndale::state

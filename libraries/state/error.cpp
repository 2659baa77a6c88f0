#include "state/error.hpp"

#include <utility>

namespace buckthorndale::state {

auto to_string(error_kind kind) -> std::string_view
{
    switch (kind) {
    case error_kind::invalid_settings:
        return "invalid-settings";
    case error_kind::invalid_request:
        return "invalid-request";
    case error_kind::too_large:
        return "too-large";
    case error_kind::unauthenticated:
        return "unauthenticated";
    case error_kind::forbidden:
        return "forbidden";
    case error_kind::not_found:
        return "not-found";
    case error_kind::conflict:
        return "conflict";
    case error_kind::no_capacity:
        return "no-capacity";
    case error_kind::no_allowed_version:
        return "no-allowed-version";
    case error_kind::unknown_model:
        return "unknown-model";
    case error_kind::no_configuration:
        return "no-configuration";
    case error_kind::shutting_down:
        return "shutting-down";
    case error_kind::deadline_exceeded:
        return "deadline-exceeded";
    case error_kind::suspected_request:
        return "suspected-request";
    case error_kind::endpoint_failed:
        return "endpoint-failed";
    case error_kind::platform_unavailable:
        return "platform-unavailable";
    case error_kind::already_in_progress:
        return "already-in-progress";
    case error_kind::outcome_unknown:
        return "outcome-unknown";
    }
    return "unnamed";
}

error::error(error_kind kind, const std::string& message, std::string remedy)
    : std::runtime_error{message + " Remedy: " + remedy}, kind_{kind}, remedy_{std::move(remedy)}
{}

} // namespace buckthorndale::state

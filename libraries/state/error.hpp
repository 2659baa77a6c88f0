#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthorndale::state {

/// The kind of an error, as reported to callers, operators and programs.
enum class error_kind : std::uint8_t {
    invalid_settings,
    invalid_request,
    too_large,
    unauthenticated,
    forbidden,
    not_found,
    conflict,
    no_capacity,
    no_allowed_version,
    unknown_model,
    no_configuration,
    shutting_down,
    deadline_exceeded,
    suspected_request,
    endpoint_failed,
    platform_unavailable,
    already_in_progress,
    outcome_unknown,
};

/// The kind as it is written in problem details and logs, such as `no-capacity`.
auto to_string(error_kind kind) -> std::string_view;

/// An error of a known kind. The message describes the problem, and the remedy says how to solve it.
class error : public std::runtime_error {
public:
    error(error_kind kind, const std::string& message, std::string remedy);

    auto kind() const -> error_kind { return kind_; }

    auto remedy() const -> const std::string& { return remedy_; }

private:
    error_kind kind_;
    std::string remedy_;
};

} // namespace buckthorndale::state

#pragma once

#include "state/guarantee.hpp"

#include <source_location>
#include <stdexcept>
#include <string>
#include <string_view>

namespace buckthorndale::state {

/// Thrown when an invariant does not hold. It terminates a service; test programs report it.
class invariant_violation : public std::logic_error {
public:
    invariant_violation(guarantee which, const std::string& text) : std::logic_error{text}, which_{which} {}

    auto which() const -> guarantee { return which_; }

private:
    guarantee which_;
};

/// Asserts an invariant in every build, release builds included.
/// Throws invariant_violation with the guarantee, the text and the source location.
auto verify(bool holds, guarantee which, std::string_view text,
            std::source_location location = std::source_location::current()) -> void;

} // namespace buckthorndale::state

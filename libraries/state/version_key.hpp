#pragma once

#include "state/identifiers.hpp"

#include <compare>
#include <ostream>
#include <string>

namespace buckthorndale::state {

/// One version of one model, written `model@version`.
struct version_key {
    model_name model_;
    version_name version_;

    auto operator<=>(const version_key&) const = default;

    auto text() const -> std::string { return model_.text() + "@" + version_.text(); }

    friend auto operator<<(std::ostream& stream, const version_key& key) -> std::ostream&
    {
        return stream << key.text();
    }
};

/// Parses `model@version`. Throws error of kind invalid_request when a part is missing.
auto version_key_from_text(const std::string& text) -> version_key;

} // namespace buckthorndale::state

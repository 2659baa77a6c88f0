#pragma once

#include <charconv>
#include <memory>
#include <optional>
#include <string_view>
#include <system_error>

namespace buckthorndale::state {

/// Parses an integer that spans the whole text. Returns nothing for other text or a number out of range.
template <typename Number>
auto number_from_text(std::string_view text) -> std::optional<Number>
{
    auto number = Number{};
    const auto* const last = std::to_address(text.end());
    const auto parsed = std::from_chars(std::to_address(text.begin()), last, number);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != last)
        return std::nullopt;
    return number;
}

} // namespace buckthorndale::state

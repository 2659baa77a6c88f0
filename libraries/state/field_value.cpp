#include "state/field_value.hpp"

#include <algorithm>
#include <cstddef>

namespace buckthorndale::state {

namespace {

/// In bytes. The head of a message holds several values, and many receivers limit it to 8 KiB.
constexpr auto max_length = std::size_t{1024};

auto is_blank(char character) -> bool
{
    return character == ' ' || character == '\t';
}

auto is_control(char character) -> bool
{
    constexpr auto first_printable = 0x20;
    constexpr auto delete_character = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return (byte < first_printable && character != '\t') || byte == delete_character;
}

} // namespace

auto is_field_value(std::string_view text) -> bool
{
    if (text.empty())
        return true;
    return text.size() <= max_length && !is_blank(text.front()) && !is_blank(text.back()) &&
           std::ranges::none_of(text, is_control);
}

} // namespace buckthorndale::state

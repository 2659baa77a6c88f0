#include "transport/logging/log_text.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>

#include <algorithm>
#include <cstddef>

namespace buckthorndale::transport::logging {

namespace {

namespace urls = boost::urls;

constexpr auto max_line_length = std::size_t{4000};
constexpr auto cut_mark = std::string_view{"..."};

constexpr auto is_printable(char character) -> bool
{
    return character >= ' ' && character <= '~';
}

constexpr auto is_control(char character) -> bool
{
    constexpr auto delete_character = '\x7f';
    const auto byte = static_cast<unsigned char>(character);
    return byte < static_cast<unsigned char>(' ') || character == delete_character;
}

constexpr auto field_characters = urls::grammar::lut_chars{
    [](char character) { return is_printable(character) && character != ' ' && character != '"'; }};
constexpr auto line_characters =
    urls::grammar::lut_chars{[](char character) { return !is_control(character); }};
constexpr auto quoted_characters = line_characters - '"';

auto encode(std::string_view text, const urls::grammar::lut_chars& kept) -> std::string
{
    return urls::encode(urls::string_view{text.data(), text.size()}, kept);
}

} // namespace

auto field_text(std::string_view text) -> std::string
{
    return encode(text, field_characters);
}

auto quoted_text(std::string_view text) -> std::string
{
    return encode(text, quoted_characters);
}

auto line_text(std::string_view line) -> std::string
{
    auto text = encode(line.substr(0, max_line_length), line_characters);
    if (line.size() <= max_line_length && text.size() <= max_line_length)
        return text;
    text.resize(std::min(text.size(), max_line_length));
    return text.append(cut_mark);
}

} // namespace buckthorndale::transport::logging

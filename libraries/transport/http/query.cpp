#include "transport/http/query.hpp"

#include "state/number_from_text.hpp"

#include <optional>

namespace buckthorndale::transport::http {

namespace {

/// The byte that two hexadecimal digits encode; empty if they are not such digits.
auto byte_of(std::string_view code) -> std::optional<char>
{
    constexpr auto digits = std::string_view{"0123456789abcdef0123456789ABCDEF"};
    constexpr auto base = std::size_t{16};
    if (code.size() != 2)
        return std::nullopt;
    const auto high = digits.find(code[0]);
    const auto low = digits.find(code[1]);
    if (high == std::string_view::npos || low == std::string_view::npos)
        return std::nullopt;
    return static_cast<char>(high % base * base + low % base);
}

} // namespace

auto split_target(std::string_view target) -> split_target_parts
{
    const auto question_mark = target.find('?');
    if (question_mark == std::string_view::npos)
        return {.path_ = std::string{target}, .query_ = ""};
    return {.path_ = std::string{target.substr(0, question_mark)},
            .query_ = std::string{target.substr(question_mark + 1)}};
}

auto query_text(std::string_view query, std::string_view name) -> std::string
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decode_percent(pair.substr(equals + 1));
        query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    }
    return {};
}

auto query_number(std::string_view query, std::string_view name, std::uint64_t fallback) -> std::uint64_t
{
    return state::number_from_text<std::uint64_t>(query_text(query, name)).value_or(fallback);
}

auto decode_percent(std::string_view text) -> std::string
{
    constexpr auto code_length = std::size_t{2};
    auto decoded = std::string{};
    for (auto position = std::size_t{0}; position < text.size(); ++position) {
        const auto code = text.substr(position + 1, code_length);
        const auto byte = text[position] == '%' ? byte_of(code) : std::nullopt;
        decoded.push_back(byte.value_or(text[position]));
        position += byte ? code_length : 0;
    }
    return decoded;
}

} // namespace buckthorndale::transport::http

#include "state/session_pin.hpp"

#include "state/error.hpp"
#include "state/stable_hash.hpp"

#include <array>

namespace buckthorndale::state {

namespace {

constexpr auto separator = '.';
constexpr auto hexadecimal = std::string_view{"0123456789abcdef"};

auto to_hexadecimal(std::string_view bytes) -> std::string
{
    auto text = std::string{};
    for (const auto byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        text.push_back(hexadecimal.at(value >> 4U));
        text.push_back(hexadecimal.at(value & 0x0fU));
    }
    return text;
}

auto from_hexadecimal(std::string_view text) -> std::string
{
    auto bytes = std::string{};
    for (auto position = std::size_t{0}; position + 1 < text.size(); position += 2) {
        const auto high = hexadecimal.find(text[position]);
        const auto low = hexadecimal.find(text[position + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return {};
        bytes.push_back(static_cast<char>(high * hexadecimal.size() + low));
    }
    return bytes;
}

auto checksum(const std::string& body) -> std::string
{
    return std::to_string(stable_hash(body) % 100'000'000ULL);
}

} // namespace

auto session_token(const session_pin& pin) -> std::string
{
    const auto body = to_hexadecimal(pin.session_.text()) + separator + to_hexadecimal(pin.version_.text());
    return body + separator + checksum(body);
}

auto session_pin_from_token(const std::string& token) -> session_pin
{
    const auto damaged = [] {
        return error{error_kind::invalid_request, "The session token is damaged.",
                     "Send the token of the last answer unchanged, or omit it to start a new session."};
    };
    const auto first = token.find(separator);
    const auto second = token.rfind(separator);
    if (first == std::string::npos || first == second)
        throw damaged();
    if (checksum(token.substr(0, second)) != token.substr(second + 1))
        throw damaged();
    const auto session = from_hexadecimal(std::string_view{token}.substr(0, first));
    const auto version = from_hexadecimal(std::string_view{token}.substr(first + 1, second - first - 1));
    if (session.empty())
        throw damaged();
    return {.session_ = session_id{session}, .version_ = version_key_from_text(version)};
}

} // namespace buckthorndale::state

#include "transport/process/sha256.hpp"

#include <openssl/evp.h>

#include <array>

namespace buckthorndale::transport::process {

auto sha256(std::string_view bytes) -> std::string
{
    constexpr auto digits = std::string_view{"0123456789abcdef"};
    auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
    auto length = 0U;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    auto text = std::string{};
    for (auto index = std::size_t{0}; index < length; ++index) {
        text.push_back(digits.at(digest.at(index) >> 4U));
        text.push_back(digits.at(digest.at(index) & 0x0fU));
    }
    return text;
}

} // namespace buckthorndale::transport::process

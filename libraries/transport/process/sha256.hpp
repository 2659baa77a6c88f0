#pragma once

#include <string>
#include <string_view>

namespace buckthorndale::transport::process {

/// The SHA-256 digest of the bytes in lower-case hexadecimal.
auto sha256(std::string_view bytes) -> std::string;

} // namespace buckthorndale::transport::process

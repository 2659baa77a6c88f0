#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Compression of long texts that instances exchange.
namespace buckthorndale::transport::deflate {

/// Compresses the text to a raw deflate stream (RFC 1951).
auto deflated(std::string_view text) -> std::string;

/// Decompresses the result of deflated(). Throws error of kind invalid_request for bytes that are no valid
/// stream, or when the text would be longer than `max_bytes`.
auto inflated(std::string_view bytes, std::size_t max_bytes) -> std::string;

} // namespace buckthorndale::transport::deflate

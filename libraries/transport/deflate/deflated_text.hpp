#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// Compression of long texts that instances send each other.
namespace buckthorndale::transport::deflate {

/// The text as a raw deflate stream (RFC 1951).
auto deflated(std::string_view text) -> std::string;

/// Undoes deflated(). Throws error of kind invalid_request for bytes that are no such stream, or when the
/// text would be longer than `largest` bytes.
auto inflated(std::string_view bytes, std::size_t max_bytes) -> std::string;

} // namespace buckthorndale::transport::deflate

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace buckthorndale::transport::http {

/// The path and the query of a request target, without the question mark.
struct split_target_parts {
    std::string path_;
    std::string query_;
};

auto split_target(std::string_view target) -> split_target_parts;

/// The percent-decoded value of a query parameter; empty when it is absent.
auto query_text(std::string_view query, std::string_view name) -> std::string;

/// The value of a query parameter as a number; the fallback when it is absent or not a number.
auto query_number(std::string_view query, std::string_view name, std::uint64_t fallback) -> std::uint64_t;

/// Decodes percent encoding. Invalid escape sequences are left as they are.
auto decode_percent(std::string_view text) -> std::string;

} // namespace buckthorndale::transport::http

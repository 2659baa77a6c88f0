#pragma once

// Also included by C++14 code, because the client of libjsonrpccpp does not compile as C++17 or later.

#include <json/value.h>

#include <string>

// NOLINTBEGIN(modernize-*): C++14 has no nested namespace definitions, and its code here uses leading return
// types.

namespace buckthorndale {
namespace transport {
namespace rpc {

/// The result or the error of a call.
struct decoded_response {
    bool is_error_;
    std::string error_;
    Json::Value result_;
};

/// Encodes the request for a method.
std::string encode_request(const std::string& method, const Json::Value& parameters);

/// Decodes the response to a request for the same method.
decoded_response decode_response(const std::string& method, const std::string& response);

} // namespace rpc
} // namespace transport
} // namespace buckthorndale

// NOLINTEND(modernize-*)

#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::services::agent {

/// A call of the administration API, in the form that is passed to the control worker.
struct administration_call {
    std::uint64_t number_{0};
    std::string method_;
    std::string path_;
    std::string query_;
    std::string body_;
    std::string operator_;
    std::string change_id_;
    /// The value of If-Match: the generation on which the operator based the change.
    std::string based_on_;
};

/// The reply to the call with the same number.
struct administration_reply {
    std::uint64_t number_{0};
    unsigned status_{200};
    std::string media_type_{"application/json"};
    std::string body_;
};

} // namespace buckthorndale::services::agent

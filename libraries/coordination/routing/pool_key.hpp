#pragma once

#include "state/request_description.hpp"

#include <compare>
#include <string>

namespace buckthorndale::coordination::routing {

/// Identifies the queue of a request: one per profile, and one per service.
struct pool_key {
    state::target_kind target_{state::target_kind::model};
    std::string name_;

    auto operator<=>(const pool_key&) const = default;
};

inline auto pool_of(const state::request_description& request) -> pool_key
{
    if (request.target_ == state::target_kind::service)
        return {.target_ = request.target_, .name_ = request.service_.text()};
    return {.target_ = request.target_, .name_ = request.profile_.text()};
}

} // namespace buckthorndale::coordination::routing

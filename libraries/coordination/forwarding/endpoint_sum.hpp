#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <concepts>
#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// A quantity of one endpoint that routers add up.
template <typename Type>
concept endpoint_sum = requires(Type& sum, const Type& other) {
    {
        sum.endpoint_
    } -> std::convertible_to<state::endpoint_id>;
    sum.add(other);
    sum.subtract(other);
    {
        other.is_empty()
    } -> std::same_as<bool>;
    {
        other.weight()
    } -> std::same_as<double>;
    {
        Type::max_report_age
    } -> std::convertible_to<state::duration>;
    {
        Type::max_reported_endpoints
    } -> std::convertible_to<std::size_t>;
};

} // namespace buckthorndale::coordination::forwarding

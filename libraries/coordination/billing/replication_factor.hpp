#pragma once

#include <cstddef>

namespace buckthorndale::coordination::billing {

/// Instances that hold a record until the platform has it, so that any two may die at once.
inline constexpr auto replication_factor = std::size_t{3};

} // namespace buckthorndale::coordination::billing

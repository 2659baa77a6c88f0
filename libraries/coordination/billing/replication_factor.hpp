#pragma once

#include <cstddef>

namespace buckthorndale::coordination::billing {

/// The number of instances that hold a record until the platform stores it. Three copies survive the
/// simultaneous crash of any two instances.
inline constexpr auto replication_factor = std::size_t{3};

} // namespace buckthorndale::coordination::billing

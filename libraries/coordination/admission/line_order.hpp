#pragma once

#include <cstdint>

namespace buckthorndale::coordination::admission {

/// The order among equally urgent requests of a waiting_line.
enum class line_order : std::uint8_t {
    by_arrival,
    /// Workspaces get equal parts of the endpoints' time.
    by_workspace,
};

} // namespace buckthorndale::coordination::admission

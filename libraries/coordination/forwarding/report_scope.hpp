#pragma once

#include <cstdint>

namespace buckthorndale::coordination::forwarding {

/// Whose requests a report counts.
enum class report_scope : std::uint8_t {
    /// Those of one router.
    own,
    /// Those of a watcher and of the routers that follow it.
    subtree,
    /// Those of all routers that the sender has reports from.
    all,
};

} // namespace buckthorndale::coordination::forwarding

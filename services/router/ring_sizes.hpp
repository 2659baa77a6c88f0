#pragma once

#include <cstddef>

namespace buckthorndale::services::router {

/// Capacity of the rings of events to the decision worker and of notices to the network worker.
inline constexpr auto event_ring_size = std::size_t{16'384};
/// Capacity of the rings of actions; each event causes a few actions at most.
inline constexpr auto action_ring_size = std::size_t{32'768};
/// Free entries of the event ring that are kept for requests in flight; new requests are refused when fewer
/// are left.
inline constexpr auto reserved_for_requests_in_flight = std::size_t{8'192};

} // namespace buckthorndale::services::router

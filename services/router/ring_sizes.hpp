#pragma once

#include <cstddef>

namespace buckthorndale::services::router {

/// Events towards the decision duty.
inline constexpr auto event_ring_size = std::size_t{16'384};
/// Actions of the decision duty; each event causes a few at most.
inline constexpr auto action_ring_size = std::size_t{32'768};
/// New requests are refused when the ring has less room than this, which requests inside may need.
inline constexpr auto reserved_for_requests_in_flight = std::size_t{8'192};

} // namespace buckthorndale::services::router

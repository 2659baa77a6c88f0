#pragma once

#include "state/identifiers.hpp"
#include "state/member.hpp"

#include <vector>

namespace buckthorndale::coordination::placement {

/// The instances that can hold an instance's bill records, in order of preference: itself, then the live
/// members of its data centre by rendezvous hashing (Thaler and Ravishankar, IEEE/ACM ToN 1998), then the
/// leaving ones, then the members of other data centres.
auto holder_order(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::instance_id>;

/// Whether the instance is among the first `max_watchers` live members of its data centre by hash, which
/// watch the platform for the others.
auto is_watcher(const state::instance_id& self, const state::data_centre_id& data_centre,
                const std::vector<state::member>& members, std::size_t max_watchers) -> bool;

} // namespace buckthorndale::coordination::placement

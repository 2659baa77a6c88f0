#pragma once

#include "state/identifiers.hpp"
#include "state/member.hpp"

#include <vector>

namespace buckthorndale::coordination::placement {

/// The instances that can hold an instance's bill records, best first: itself, then the live members of
/// its data centre by rendezvous hash (Thaler and Ravishankar, IEEE/ACM ToN 1998), then those that leave,
/// then the members of other data centres.
auto holder_order(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::instance_id>;

/// Whether the instance is among the `most` members of its data centre that watch the platform for the
/// others.
auto is_watcher(const state::instance_id& self, const state::data_centre_id& data_centre,
                const std::vector<state::member>& members, std::size_t max_watchers) -> bool;

} // namespace buckthorndale::coordination::placement

#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Another instance that accepts requests which this one cannot send to an endpoint.
struct relay_peer {
    state::instance_id id_;
    state::data_centre_id data_centre_;
    /// Where it accepts requests of other instances.
    state::network_address address_;

    auto operator==(const relay_peer&) const -> bool = default;
};

/// The instances to which a request can be passed on. One that refused a request or could not be reached is
/// left out for a while; if several of the own data centre were, others go first, as a whole data centre may
/// be cut off.
class relay_peers {
public:
    /// Sets the other instances.
    auto set(std::vector<relay_peer> peers) -> void { peers_ = std::move(peers); }

    /// Chooses an instance for a request; none if all are excluded or left out.
    auto choose(const state::data_centre_id& own, const std::set<state::instance_id>& excluded,
                state::time_point now, std::uint64_t random) const -> std::optional<relay_peer>;

    /// Records that the instance served no request, and leaves it out for a while.
    auto record_failure(const state::instance_id& id, state::time_point now) -> void;

    auto record_success(const state::instance_id& id) -> void { left_out_until_.erase(id); }

private:
    auto is_left_out(const relay_peer& peer, state::time_point now) const -> bool;

    std::vector<relay_peer> peers_;
    std::map<state::instance_id, state::time_point> left_out_until_;
};

} // namespace buckthorndale::coordination::forwarding

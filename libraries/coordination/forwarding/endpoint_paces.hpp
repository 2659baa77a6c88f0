#pragma once

#include "coordination/forwarding/endpoint_pace_sums.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Learns how long each endpoint takes in comparison with the average one: 1 for the average, 2 for one that
/// takes twice as long.
///
/// The evidence is the time between the events of streams, and the time of whole answers, against the average
/// of the same kind of answer. The time to first byte is none: it depends on what is cached and queued, and
/// an endpoint that a burst met would count as slow. All instances add up what they have seen. Evidence fades
/// within seconds, and an endpoint without any counts as average, so one that got little because it was slow
/// is tried again.
///
/// Load pattern: endpoints of one service that differ in speed, or slow down for a while or long before they
/// are full.
class endpoint_paces {
public:
    /// Sets the endpoints, which are compared with the others of their service. What is known of others is
    /// forgotten.
    auto set_endpoints(const std::vector<state::registered_endpoint>& endpoints) -> void;

    /// Records an answer. `expected` is the time that an average endpoint would have taken. It counts from
    /// the next refresh() on.
    auto record(const state::endpoint_id& endpoint, state::duration taken, state::duration expected) -> void;

    /// Replaces what the other instances have seen, lets old evidence fade and compares the endpoints; to be
    /// called once a second.
    auto refresh(const std::vector<endpoint_pace_sums>& remote, state::time_point now) -> void;

    /// What this instance has seen, for the other ones.
    auto own_sums() const -> std::vector<endpoint_pace_sums>;

    /// The time that the endpoint takes in units of the average one's, from 0.4 to 4. Small differences count
    /// as none, since they are within the noise of a few answers.
    auto pace(const state::endpoint_id& endpoint) const -> double;

    /// The part of the affinity keys that the endpoint should have, in units of the average one's. It changes
    /// by steps and with a margin, since a change moves cached prompts.
    auto share(const state::endpoint_id& endpoint) const -> double;

    /// The number of endpoints whose share is below, or above, the average.
    auto count_slow() const -> std::size_t;
    auto count_fast() const -> std::size_t;

private:
    /// Steps of the share of affinity keys.
    enum class pace_band : std::uint8_t { fast, average, slow, very_slow };

    struct entry {
        state::service_name service_;
        endpoint_pace_sums own_;
        endpoint_pace_sums remote_;
        double pace_{1};
        pace_band band_{pace_band::average};
    };

    auto fade(state::time_point now) -> void;
    /// How much longer than expected the endpoints of each service take on the whole. What concerns them all,
    /// as a change of the requests does, tells nothing about one of them.
    auto common_factors() const -> std::map<state::service_name, double>;
    static auto band_of(double pace) -> pace_band;
    static auto update_band(entry& known) -> void;

    std::map<state::endpoint_id, entry> entries_;
    state::time_point faded_at_{};
};

} // namespace buckthorndale::coordination::forwarding

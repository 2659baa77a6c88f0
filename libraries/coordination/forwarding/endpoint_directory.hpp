#pragma once

#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The listed endpoints across outages of the store. Entries expire during an outage and are registered again
/// after it, so for a while a missing entry does not mean that the endpoint is gone. A copy that the store is
/// restored from may still list an endpoint as ready that was leaving.
class endpoint_directory {
public:
    /// Replaces the list with what the store returned.
    auto list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now) -> void;

    auto mark_store_unavailable(state::time_point now) -> void;

    /// Ends an outage; to be called before list().
    auto mark_store_available(state::time_point now) -> void;

    /// Records that the store was restored from a copy, which ends an outage or takes its place.
    auto mark_store_restored(state::time_point now) -> void { restored_at_ = now; }

    /// The listed endpoints and the retained ones.
    auto current(state::time_point now) const -> std::vector<state::registered_endpoint>;

    /// When current() changes without a new list; nothing if it does not.
    auto next_expiry(state::time_point now) const -> std::optional<state::time_point>;

private:
    /// An entry of an endpoint that drained or was removed.
    struct left_entry {
        std::uint64_t incarnation_{0};
        std::uint64_t registered_at_{0};
        state::time_point noted_at_;
    };

    auto is_retention_active(state::time_point now) const -> bool;
    auto is_restore_recent(state::time_point now) const -> bool;
    /// Whether the endpoint is listed only because a copy holds its entry from before it left.
    auto has_left(const state::registered_endpoint& endpoint, state::time_point now) const -> bool;
    auto note_left(const state::registered_endpoint& endpoint, state::time_point now) -> void;

    /// The platform registers its entries again within about two seconds after an outage of the store.
    static constexpr state::duration retention_after_outage{std::chrono::milliseconds{2200}};
    /// Within this time the platform removes or changes the entries of endpoints that left.
    static constexpr state::duration distrust_after_restore{std::chrono::seconds{10}};
    /// Copies are some seconds old.
    static constexpr state::duration max_copy_age{std::chrono::seconds{60}};

    bool is_store_unavailable_{false};
    std::optional<state::time_point> store_available_since_;
    std::map<state::endpoint_id, state::registered_endpoint> listed_;
    /// Entries that disappeared during an outage or shortly after it.
    std::map<state::endpoint_id, state::registered_endpoint> retained_;
    std::optional<state::time_point> restored_at_;
    std::map<state::endpoint_id, left_entry> left_;
};

} // namespace buckthorndale::coordination::forwarding

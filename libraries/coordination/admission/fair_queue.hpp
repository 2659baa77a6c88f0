#pragma once

#include "state/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

/// Admission control: which requests wait, in what order, and which are refused.
namespace buckthorndale::coordination::admission {

/// A bounded queue that shares a pool among workspaces by weight (start-time fair queueing:
/// Goyal, Vin and Cheng, SIGCOMM 1996). Each workspace may use its share of the capacity;
/// requests beyond that share are refused first.
class fair_queue {
public:
    explicit fair_queue(std::size_t capacity) : capacity_{capacity} {}

    /// Adds a request. Returns false if the queue or the workspace's share of it is full.
    auto try_push(const state::workspace_id& workspace, std::int32_t weight, state::request_handle request)
        -> bool;

    /// Returns the next requests to start, in fair order, at most `most` of them.
    auto first(std::size_t most) const -> std::vector<state::request_handle>;

    /// Removes a request that is being started and charges its workspace for it.
    auto take(state::request_handle request) -> void;

    /// Removes a request without starting it. Returns whether it was queued.
    auto remove(state::request_handle request) -> bool;

    auto size() const -> std::size_t { return size_; }

    auto is_empty() const -> bool { return size_ == 0; }

private:
    struct workspace_lane {
        std::deque<state::request_handle> waiting_;
        std::int32_t weight_{1};
        /// The virtual start time of the request at the front.
        double start_{0};
    };

    using lane_map = std::map<state::workspace_id, workspace_lane>;

    auto find_lane(state::request_handle request) -> workspace_lane*;
    auto share_of(std::int32_t weight, const state::workspace_id& workspace) const -> std::size_t;
    auto drop_idle_lanes() -> void;

    std::size_t capacity_;
    std::size_t size_{0};
    double virtual_time_{0};
    lane_map lanes_;
};

} // namespace buckthorndale::coordination::admission

#pragma once

#include "transport/http/held_part.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace buckthorndale::transport::http {

class caller_memory;

/// What one connection, or one request with its answer, holds of the memory for callers. It is given back
/// when the share is destroyed, so the share lives as long as what it stands for.
class caller_share {
public:
    explicit caller_share(std::shared_ptr<caller_memory> memory);
    ~caller_share();

    caller_share(const caller_share&) = delete;
    auto operator=(const caller_share&) -> caller_share& = delete;

    /// Sets what a part holds, in bytes. If it grows, others may have to give way. Returns false, and leaves
    /// the part as it is, if there is not enough memory.
    auto try_hold(held_part part, std::size_t bytes) -> bool;

    /// Gives back what a part holds.
    auto release(held_part part) -> void;

    /// Gives back all parts.
    auto release() -> void;

    /// From now on the share may have to give way to others. `on_eviction` must free what it stands for, or
    /// make sure that this happens within the current turn of the thread's loop. It is called once at most.
    auto allow_eviction(std::function<void()> on_eviction) -> void;

    /// The share does not give way any more.
    auto forbid_eviction() -> void;

    /// Gives way now, if it may.
    auto evict() -> void;

private:
    friend class caller_memory;

    using clock = std::chrono::steady_clock;

    auto make_room(held_part part, std::size_t bytes) -> bool;
    auto total() const -> std::size_t;
    auto request_bytes() const -> std::size_t;
    static auto bulk_of(std::size_t request_bytes) -> std::size_t;
    /// What the request holds, unless it is a small one.
    auto bulk() const -> std::size_t;
    /// Bytes times milliseconds since the share may be evicted.
    auto weight(clock::time_point now) const -> double;

    std::shared_ptr<caller_memory> memory_;
    std::array<std::size_t, held_part_count> parts_{};
    std::function<void()> on_eviction_;
    clock::time_point evictable_since_;
};

} // namespace buckthorndale::transport::http

#pragma once

#include <atomic>
#include <cstddef>

namespace buckthorndale::transport::worker {

/// Readiness and load of a decision worker, readable from other threads.
class worker_gauge {
public:
    auto publish(bool is_ready, std::size_t requests_inside) -> void
    {
        is_ready_.store(is_ready);
        requests_inside_.store(requests_inside);
    }

    auto is_ready() const -> bool { return is_ready_.load(); }

    auto requests_inside() const -> std::size_t { return requests_inside_.load(); }

private:
    std::atomic<bool> is_ready_{false};
    std::atomic<std::size_t> requests_inside_{0};
};

} // namespace buckthorndale::transport::worker

#pragma once

#include "transport/http/caller_memory_counts.hpp"

#include <cstddef>
#include <set>

namespace buckthorndale::transport::http {

class caller_share;

/// The only account of the memory that callers make the process hold: connections with what lies unread in
/// their sockets, requests before and after they are complete, and answers that are not read. Shared by the
/// servers of one thread.
///
/// When it is used up, whoever holds most for the longest gives way, unless a request is in progress: such a
/// request may be running at an endpoint. So callers that stay open without an end cannot keep others from
/// being served.
class caller_memory {
public:
    static constexpr std::size_t default_limit{33'554'432};

    /// `limit` is in bytes.
    explicit caller_memory(std::size_t limit = default_limit) : limit_{limit} {}

    /// Raises the limit to what a single request with a head and a body of these sizes takes, in bytes.
    auto fit_request(std::size_t head_bytes, std::size_t body_bytes) -> void;

    auto counts() const -> caller_memory_counts;

private:
    friend class caller_share;

    /// A request up to this size is not bulk.
    static constexpr std::size_t small_request_bytes{65'536};

    /// Refusals take no memory from others.
    auto refusal_limit() const -> std::size_t { return limit_ / 8; }

    auto service_limit() const -> std::size_t { return limit_ - refusal_limit(); }

    /// Large requests leave a quarter to connections and small requests.
    auto bulk_limit() const -> std::size_t { return service_limit() / 4 * 3; }

    /// Lets other shares give way until the growth fits. Returns false if it does not fit in the end.
    auto make_room(const caller_share& owner, std::size_t growth, std::size_t bulk_growth) -> bool;

    auto has_room_for_refusal(std::size_t growth) -> bool;

    /// The share that gives way next; null if none can.
    auto find_heaviest(bool needs_bulk) const -> caller_share*;

    std::size_t limit_;
    std::size_t held_{0};
    /// What the large requests hold.
    std::size_t bulk_{0};
    std::size_t refusals_{0};
    std::set<caller_share*> evictable_;
    caller_memory_counts counts_;
};

} // namespace buckthorndale::transport::http

#include <utility>

#include "transport/http/caller_share.hpp"

#include "transport/http/caller_memory.hpp"

#include <numeric>

namespace buckthorndale::transport::http {

namespace {

auto index(held_part part) -> std::size_t
{
    return static_cast<std::size_t>(part);
}

} // namespace

caller_share::caller_share(std::shared_ptr<caller_memory> memory) : memory_{std::move(memory)} {}

caller_share::~caller_share()
{
    forbid_eviction();
    release();
}

auto caller_share::try_hold(held_part part, std::size_t bytes) -> bool
{
    auto& held = parts_.at(index(part));
    if (bytes > held && !make_room(part, bytes))
        return false;
    const auto bulk_before = bulk();
    auto& sum = part == held_part::refusal ? memory_->refusals_ : memory_->held_;
    sum = sum - held + bytes;
    held = bytes;
    memory_->bulk_ = memory_->bulk_ - bulk_before + bulk();
    return true;
}

auto caller_share::make_room(held_part part, std::size_t bytes) -> bool
{
    const auto growth = bytes - parts_.at(index(part));
    if (part == held_part::refusal)
        return memory_->has_room_for_refusal(growth);
    const auto is_bulk = part == held_part::message || part == held_part::decision;
    const auto bulk_growth = is_bulk ? bulk_of(request_bytes() + growth) - bulk() : 0;
    return memory_->make_room(*this, growth, bulk_growth);
}

auto caller_share::release(held_part part) -> void
{
    try_hold(part, 0);
}

auto caller_share::release() -> void
{
    for (auto part = std::size_t{0}; part < held_part_count; ++part)
        release(static_cast<held_part>(part));
}

auto caller_share::allow_eviction(std::function<void()> on_eviction) -> void
{
    on_eviction_ = std::move(on_eviction);
    evictable_since_ = clock::now();
    memory_->evictable_.insert(this);
}

auto caller_share::forbid_eviction() -> void
{
    memory_->evictable_.erase(this);
    on_eviction_ = {};
}

auto caller_share::evict() -> void
{
    const auto on_eviction = std::exchange(on_eviction_, {});
    memory_->evictable_.erase(this);
    if (!on_eviction)
        return;
    release();
    on_eviction();
}

auto caller_share::total() const -> std::size_t
{
    return std::accumulate(parts_.begin(), parts_.end(), std::size_t{0});
}

auto caller_share::request_bytes() const -> std::size_t
{
    return parts_.at(index(held_part::message)) + parts_.at(index(held_part::decision));
}

auto caller_share::bulk_of(std::size_t request_bytes) -> std::size_t
{
    return request_bytes > caller_memory::small_request_bytes ? request_bytes : 0;
}

auto caller_share::bulk() const -> std::size_t
{
    return bulk_of(request_bytes());
}

auto caller_share::weight(clock::time_point now) const -> double
{
    const auto milliseconds = std::chrono::duration<double, std::milli>(now - evictable_since_).count();
    return static_cast<double>(total()) * milliseconds;
}

} // namespace buckthorndale::transport::http

#pragma once

#include "state/identifiers.hpp"

#include <cstdint>

/// Assembly of one complete answer from the attempts that produce it.
namespace buckthorndale::coordination::answer {

/// What to do with a received chunk.
enum class chunk_verdict : std::uint8_t {
    /// The next chunk of the answer.
    accept,
    /// A duplicate, or from an attempt that is no longer current; it is discarded.
    drop,
    /// Chunks before it are missing; the attempt has failed.
    gap,
};

/// Tracks the chunks of one answer, so that the caller receives each exactly once and in order.
class answer_relay {
public:
    /// Makes an attempt the only one whose chunks are accepted. A resumed attempt continues at the offset;
    /// a new one begins at 0, which is only allowed while no chunk was released to the caller.
    auto switch_to(state::attempt_handle attempt, std::uint64_t offset) -> void;

    /// Classifies the chunk with the given offset, counted in chunks from 0.
    auto judge(state::attempt_handle attempt, std::uint64_t offset) -> chunk_verdict;

    /// Records that all accepted chunks were released to the caller.
    auto mark_released() -> void { released_ = accepted_; }

    /// The number of chunks accepted so far, which is the offset to resume at.
    auto accepted() const -> std::uint64_t { return accepted_; }

    auto released() const -> std::uint64_t { return released_; }

    auto is_current(state::attempt_handle attempt) const -> bool { return attempt == current_; }

    /// Whether the answer is complete, given the number of chunks in the attempt's end marker.
    auto is_complete(state::attempt_handle attempt, std::uint64_t chunks) const -> bool;

private:
    state::attempt_handle current_;
    std::uint64_t accepted_{0};
    std::uint64_t released_{0};
};

} // namespace buckthorndale::coordination::answer

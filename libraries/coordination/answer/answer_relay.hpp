#pragma once

#include "state/identifiers.hpp"

#include <cstdint>

/// Putting one whole answer together from the attempts that produce it.
namespace buckthorndale::coordination::answer {

/// What to do with a piece that arrived.
enum class chunk_verdict : std::uint8_t {
    /// The next piece of the answer.
    accept,
    /// Already given out, or from an attempt that was left; drop it.
    drop,
    /// Pieces are missing before it; the attempt is broken.
    gap,
};

/// Follows the pieces of one answer, so that the caller sees each exactly once and in order.
class answer_relay {
public:
    /// Makes an attempt the only one whose pieces count. A resumed attempt goes on at the offset;
    /// a fresh one begins at 0 and is only allowed while nothing was given out.
    auto switch_to(state::attempt_handle attempt, std::uint64_t offset) -> void;

    /// Judges the piece with the given offset, counted in pieces from 0.
    auto judge(state::attempt_handle attempt, std::uint64_t offset) -> chunk_verdict;

    /// Records that all accepted pieces were given out to the caller.
    auto mark_released() -> void { released_ = accepted_; }

    /// The number of pieces accepted so far, which is the offset to resume at.
    auto accepted() const -> std::uint64_t { return accepted_; }

    auto released() const -> std::uint64_t { return released_; }

    auto is_current(state::attempt_handle attempt) const -> bool { return attempt == current_; }

    /// Whether an end mark that names this many pieces ends the answer whole.
    auto is_complete(state::attempt_handle attempt, std::uint64_t chunks) const -> bool;

private:
    state::attempt_handle current_;
    std::uint64_t accepted_{0};
    std::uint64_t released_{0};
};

} // namespace buckthorndale::coordination::answer

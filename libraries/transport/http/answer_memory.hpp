#pragma once

#include "state/error.hpp"

#include <cstddef>

namespace buckthorndale::transport::http {

/// Bounds the memory of all answers that are held until they are complete. Endpoints may send bytes without
/// end, on many connections at once. Used on one thread.
class answer_memory {
public:
    /// `limit` is in bytes.
    explicit answer_memory(std::size_t limit) : limit_{limit} {}

    /// The memory of one answer.
    class share {
    public:
        explicit share(answer_memory& memory) : memory_{memory} {}

        ~share() { memory_.used_ -= size_; }

        share(const share&) = delete;
        auto operator=(const share&) -> share& = delete;

        /// Takes memory for the whole of the answer so far, in bytes. Returns false, and takes none, if all
        /// answers together would exceed the limit.
        auto try_resize(std::size_t size) -> bool
        {
            const auto used = memory_.used_ - size_ + size;
            if (size > size_ && used > memory_.limit_)
                return false;
            memory_.used_ = used;
            size_ = size;
            return true;
        }

        /// Like try_resize(), but throws error of kind too_large.
        auto resize(std::size_t size) -> void
        {
            if (!try_resize(size))
                throw state::error{state::error_kind::too_large,
                                   "The incomplete answers of all endpoints are too large.",
                                   "Let endpoints stream large answers."};
        }

    private:
        answer_memory& memory_;
        std::size_t size_{0};
    };

private:
    std::size_t limit_;
    std::size_t used_{0};
};

} // namespace buckthorndale::transport::http

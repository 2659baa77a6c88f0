#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

namespace buckthorndale::transport::logging {

/// Bounds the volume of a repeated log line: admits so many a second and counts those that are left out.
class line_budget {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit line_budget(std::uint64_t lines_per_second) : lines_per_second_{lines_per_second} {}

    auto admits(time_point now) -> bool
    {
        if (now - second_began_ >= std::chrono::seconds{1}) {
            second_began_ = now;
            lines_ = 0;
        }
        if (lines_ < lines_per_second_) {
            ++lines_;
            return true;
        }
        ++skipped_;
        return false;
    }

    /// The number of lines left out since the last call.
    auto take_skipped() -> std::uint64_t { return std::exchange(skipped_, 0); }

private:
    std::uint64_t lines_per_second_;
    time_point second_began_;
    std::uint64_t lines_{0};
    std::uint64_t skipped_{0};
};

} // namespace buckthorndale::transport::logging

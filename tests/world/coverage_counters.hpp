#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::tests::world {

/// Counts the events that a run brought about, so that a test can tell whether its cases occurred at all.
class coverage_counters {
public:
    auto count(const std::string& what) -> void { ++counts_[what]; }

    auto count_of(const std::string& what) const -> std::uint64_t
    {
        const auto found = counts_.find(what);
        return found == counts_.end() ? 0 : found->second;
    }

    auto add(const coverage_counters& other) -> void
    {
        for (const auto& [what, number] : other.counts_)
            counts_[what] += number;
    }

    auto text() const -> std::string
    {
        auto line = std::string{};
        for (const auto& [what, number] : counts_)
            line.append(" ").append(what).append("=").append(std::to_string(number));
        return line;
    }

private:
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace buckthorndale::tests::world

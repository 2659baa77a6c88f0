#include "world/print_trace.hpp"

#include <cstdlib>
#include <iostream>

namespace buckthorndale::tests::world {

auto print_trace(const random_simulation& run) -> void
{
    constexpr auto last_lines = std::size_t{40};
    const auto& trace = run.context().trace_;
    const auto* wanted = std::getenv("BUCKTHORNDALE_TRACE");
    for (const auto& line : trace) {
        if (wanted != nullptr && line.find(wanted) != std::string::npos)
            std::cout << line << "\n";
    }
    const auto first = trace.size() > last_lines ? trace.size() - last_lines : 0;
    for (auto index = first; index < trace.size(); ++index)
        std::cout << trace[index] << "\n";
}

} // namespace buckthorndale::tests::world

#include <utility>

#include "raw_stand_in/raw_answer.hpp"

#include "state/error.hpp"

namespace buckthorndale::utilities::raw_stand_in {

auto raw_end_from(std::string_view text) -> raw_end
{
    using enum raw_end;
    for (const auto& [name, end] : {std::pair{"close", close}, std::pair{"reset", reset},
                                    std::pair{"end_and_reset", end_and_reset}, std::pair{"hold", hold}}) {
        if (text == name)
            return end;
    }
    throw state::error{state::error_kind::invalid_request, "There is no such end of a connection.",
                       "Choose close, reset, end_and_reset or hold."};
}

} // namespace buckthorndale::utilities::raw_stand_in

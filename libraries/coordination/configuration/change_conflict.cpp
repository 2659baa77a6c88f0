#include "coordination/configuration/change_conflict.hpp"

#include "coordination/configuration/apply_change.hpp"
#include "state/error.hpp"

namespace buckthorndale::coordination::configuration {

using state::error;
using state::error_kind;

auto check_conflict(const replica& known, state::generation based_on, const state::change_content& content)
    -> void
{
    const auto subject = change_subject(content);
    for (const auto& change : known.changes_after(based_on)) {
        if (change_subject(change.content_) != subject)
            continue;
        throw error{error_kind::conflict,
                    change.author_ + " changed " + subject + " in generation " +
                        std::to_string(change.generation_.value()) + ".",
                    "Read the current configuration and decide again."};
    }
    if (!known.has_changes_since(based_on))
        throw error{error_kind::conflict, "The generation that the change is based on is too old.",
                    "Read the current configuration and decide again."};
}

} // namespace buckthorndale::coordination::configuration

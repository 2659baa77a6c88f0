#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// The lowest layer: values, configuration, identifiers and units.
namespace buckthorndale::state {

/// A text identifier with its own type per kind, so that different kinds cannot be confused.
/// The tag type only distinguishes the kinds; it is never instantiated.
template <typename Tag>
class strong_id {
public:
    strong_id() = default;

    explicit strong_id(std::string text) : text_{std::move(text)} {}

    /// The identifier as written in settings, messages and logs.
    auto text() const -> const std::string& { return text_; }

    auto is_empty() const -> bool { return text_.empty(); }

    auto operator<=>(const strong_id&) const = default;

    friend auto operator<<(std::ostream& stream, const strong_id& id) -> std::ostream&
    {
        return stream << id.text_;
    }

private:
    std::string text_;
};

} // namespace buckthorndale::state

template <typename Tag>
struct std::hash<buckthorndale::state::strong_id<Tag>> {
    auto operator()(const buckthorndale::state::strong_id<Tag>& id) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(id.text());
    }
};

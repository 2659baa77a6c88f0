#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>

namespace buckthorndale::state {

/// A number with its own type per kind, for counts, handles and amounts that must not be mixed.
template <typename Tag, typename Representation>
class strong_number {
public:
    constexpr strong_number() = default;

    explicit constexpr strong_number(Representation value) : value_{value} {}

    constexpr auto value() const -> Representation { return value_; }

    constexpr auto next() const -> strong_number { return strong_number{value_ + 1}; }

    constexpr auto operator<=>(const strong_number&) const = default;

    constexpr auto operator+=(strong_number other) -> strong_number&
    {
        value_ += other.value_;
        return *this;
    }

    friend constexpr auto operator+(strong_number left, strong_number right) -> strong_number
    {
        return left += right;
    }

    friend auto operator<<(std::ostream& stream, strong_number number) -> std::ostream&
    {
        return stream << number.value_;
    }

private:
    Representation value_{};
};

} // namespace buckthorndale::state

template <typename Tag, typename Representation>
struct std::hash<buckthorndale::state::strong_number<Tag, Representation>> {
    auto operator()(buckthorndale::state::strong_number<Tag, Representation> number) const noexcept
        -> std::size_t
    {
        return std::hash<Representation>{}(number.value());
    }
};

#pragma once

namespace buckthorndale::state {

/// A visitor composed of several callables, one for each alternative of a variant.
template <typename... Callables>
struct overloaded : Callables... {
    using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace buckthorndale::state

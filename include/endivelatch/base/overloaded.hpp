#pragma once

namespace endivelatch {

/// Combines callables into one overload set, for use as a visitor with `std::visit`.
template <class... Callables>
struct overloaded : Callables... {
    using Callables::operator()...;
};
template <class... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace endivelatch

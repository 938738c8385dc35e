#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace endivelatch {

/// An error in an input and its location.
struct finding {
    std::string place;
    std::string message;

    friend bool operator==(const finding&, const finding&) = default;
};

/// All errors found in an input.
using findings = std::vector<finding>;

/// A value, or the errors in the input that it was to be read from.
template <class T>
using result = std::variant<T, findings>;

/// Returns whether the result holds a value.
template <class T>
bool has_value(const result<T>& r)
{
    return std::holds_alternative<T>(r);
}

/// Returns the value; the result has to hold one.
template <class T>
const T& value_of(const result<T>& r)
{
    return std::get<T>(r);
}

/// Returns the findings; the result must not hold a value.
template <class T>
const findings& findings_of(const result<T>& r)
{
    return std::get<findings>(r);
}

/// Returns findings with a single element.
inline findings one_finding(std::string place, std::string message)
{
    return {finding{std::move(place), std::move(message)}};
}

/// Returns the findings as `place: message`, one per line.
std::string to_string(const findings& all);

} // namespace endivelatch

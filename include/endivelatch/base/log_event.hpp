#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace endivelatch {

/// One event for the log and the time line: a name and key=value fields.
/// Values must not hold secrets or request bodies.
class log_event {
public:
    explicit log_event(std::string name) : name_{std::move(name)} {}

    /// Adds a text field; returns this event.
    log_event& add(std::string_view key, std::string_view value) &;

    /// Adds a field of any type to a temporary; returns the temporary.
    template <class Value>
    log_event&& add(std::string_view key, const Value& value) &&
    {
        add(key, value);
        return std::move(*this);
    }

    /// Adds a number field; returns this event.
    template <class Number>
    requires std::is_arithmetic_v<Number> log_event& add(std::string_view key, Number value) &
    {
        return add(key, std::string_view{std::to_string(value)});
    }

    /// Adds a field that holds an identifier; returns this event.
    template <class Id>
    requires requires(const Id& id)
    {
        {
            id.str()
            } -> std::convertible_to<std::string_view>;
    }
    log_event& add(std::string_view key, const Id& id) &
    {
        return add(key, std::string_view{id.str()});
    }

    /// Returns the name of the event.
    const std::string& name() const { return name_; }

    /// Returns the fields in the order in which they were added.
    const std::vector<std::pair<std::string, std::string>>& fields() const { return fields_; }

    /// Returns the value of the first field with the key, or an empty text.
    std::string_view field(std::string_view key) const;

    /// Returns the line `event=NAME key=value ...`; values with spaces are quoted.
    std::string to_line() const;

private:
    std::string name_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace endivelatch

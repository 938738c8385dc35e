#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace endivelatch {

/// A structured event for the log and the timeline: a name and key=value fields.
/// Values must not contain secrets or request bodies.
class log_event {
public:
    explicit log_event(std::string name) : name_{std::move(name)} {}

    /// Adds a field with a text value; returns this event.
    log_event& add(std::string_view key, std::string_view value) &;

    /// Adds a field of any supported type to a temporary event; returns it.
    template <class Value>
    log_event&& add(std::string_view key, const Value& value) &&
    {
        add(key, value);
        return std::move(*this);
    }

    /// Adds a field with a numeric value; returns this event.
    template <class Number>
    requires std::is_arithmetic_v<Number> log_event& add(std::string_view key, Number value) &
    {
        return add(key, std::string_view{std::to_string(value)});
    }

    /// Adds a field with an identifier as its value; returns this event.
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

    /// Returns the value of the first field with the key, or an empty string.
    std::string_view field(std::string_view key) const;

    /// Returns the line `event=NAME key=value ...`. Values that are empty or contain spaces, quotes
    /// or other separators are quoted.
    std::string to_line() const;

private:
    std::string name_;
    std::vector<std::pair<std::string, std::string>> fields_;
};

} // namespace endivelatch

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace endivelatch {

/// A text identifier. Identifiers with different tags are distinct types.
template <class Tag>
class string_id {
public:
    string_id() = default;
    explicit string_id(std::string text) : text_{std::move(text)} {}

    /// Returns the identifier as text.
    const std::string& str() const { return text_; }

    /// Returns whether the identifier is empty, which means that it is not set.
    bool empty() const { return text_.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const string_id& id)
    {
        return out << id.text_;
    }

private:
    std::string text_;
};

/// A number. Numbers with different tags are distinct types.
template <class Tag, class Rep = std::uint64_t>
class number_id {
public:
    using rep = Rep;

    constexpr number_id() = default;
    constexpr explicit number_id(Rep value) : value_{value} {}

    /// Returns the underlying number.
    constexpr Rep value() const { return value_; }

    /// Returns the next higher number.
    constexpr number_id next() const { return number_id{value_ + 1}; }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const number_id& id)
    {
        return out << id.value_;
    }

private:
    Rep value_{};
};

} // namespace endivelatch

template <class Tag>
struct std::hash<endivelatch::string_id<Tag>> {
    std::size_t operator()(const endivelatch::string_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag, class Rep>
struct std::hash<endivelatch::number_id<Tag, Rep>> {
    std::size_t operator()(const endivelatch::number_id<Tag, Rep>& id) const noexcept
    {
        return std::hash<Rep>{}(id.value());
    }
};

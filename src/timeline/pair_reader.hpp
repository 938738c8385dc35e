#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endivelatch {

/// Parses key=value pairs from the start of a line. Values may be quoted.
class pair_reader {
public:
    explicit pair_reader(std::string_view line) : rest_{line} {}

    /// Consumes and returns the next pair; returns nothing at the end or before a malformed pair.
    std::optional<std::pair<std::string, std::string>> next()
    {
        skip_spaces();
        const auto equals = rest_.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            return std::nullopt;
        }
        std::string key{rest_.substr(0, equals)};
        rest_.remove_prefix(equals + 1);
        return std::pair{std::move(key), value()};
    }

    /// Returns whether the whole line was consumed.
    bool at_end()
    {
        skip_spaces();
        return rest_.empty();
    }

private:
    void skip_spaces()
    {
        while (!rest_.empty() && rest_.front() == ' ') {
            rest_.remove_prefix(1);
        }
    }

    std::string value()
    {
        if (!rest_.empty() && rest_.front() == '"') {
            return quoted_value();
        }
        const auto end = rest_.find(' ');
        std::string text{rest_.substr(0, end)};
        rest_.remove_prefix(text.size());
        return text;
    }

    std::string quoted_value()
    {
        rest_.remove_prefix(1);
        std::string text;
        while (!rest_.empty() && rest_.front() != '"') {
            text += unescaped();
        }
        if (!rest_.empty()) {
            rest_.remove_prefix(1);
        }
        return text;
    }

    char unescaped()
    {
        char c = rest_.front();
        rest_.remove_prefix(1);
        if (c != '\\' || rest_.empty()) {
            return c;
        }
        c = rest_.front();
        rest_.remove_prefix(1);
        return c == 'n' ? '\n' : c == 'r' ? '\r' : c;
    }

    std::string_view rest_;
};

} // namespace endivelatch

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// An HTTP header field or a query parameter.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// Header fields in the order in which they were received or are to be sent.
using http_headers = std::vector<http_header>;

/// Returns the value of the first header whose name equals the (lowercase) name, or null. Compares
/// case-sensitively.
const std::string* find_header(const http_headers& headers, std::string_view name);

/// Returns whether two texts are equal apart from the case of ASCII letters.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns the value of the first header with the name, ignoring ASCII case, or null.
const std::string* find_header_ignoring_case(const http_headers& headers, std::string_view name);

/// Returns the text without the spaces and tabs around it.
std::string_view without_blanks(std::string_view text);

/// Returns the elements of a comma-separated list, trimmed of spaces and tabs; empty elements are
/// skipped.
std::vector<std::string_view> split_list(std::string_view text);

/// Returns the text with ASCII letters in lowercase.
std::string to_lower(std::string_view text);

} // namespace endivelatch

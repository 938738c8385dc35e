#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace endivelatch {

/// One HTTP header or query parameter.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

/// Headers in the order in which they were received or are to be sent.
using http_headers = std::vector<http_header>;

/// Returns the value of the first header with the (lowercase) name, or nothing when it is missing.
const std::string* find_header(const http_headers& headers, std::string_view name);

/// Returns whether two header names are the same; letter case does not matter.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns the value of the first header with the name in any letter case, or nothing.
const std::string* find_header_ignoring_case(const http_headers& headers, std::string_view name);

/// Returns the parts of a comma-separated list without the blanks around them; empty parts are
/// left out.
std::vector<std::string_view> split_list(std::string_view text);

/// Returns the text in lowercase (ASCII letters only).
std::string to_lower(std::string_view text);

} // namespace endivelatch

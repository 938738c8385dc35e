#include "head_check.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

bool is_token_char(char c)
{
    const bool is_alphanumeric =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return is_alphanumeric || std::string_view{"!#$%&'*+-.^_`|~"}.find(c) != std::string_view::npos;
}

bool is_header_line(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto name = line.substr(0, colon);
    return std::all_of(name.begin(), name.end(), is_token_char);
}

bool has_stray_line_end(std::string_view line)
{
    return line.find_first_of(std::string_view{"\r\n\0", 3}) != std::string_view::npos;
}

} // namespace

bool is_strict_head(std::string_view head)
{
    bool is_start_line = true;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const auto line = head.substr(0, end);
        head.remove_prefix(end + 2);
        if (has_stray_line_end(line)) {
            return false;
        }
        if (line.empty()) {
            return head.empty() && !is_start_line;
        }
        if (!is_start_line && !is_header_line(line)) {
            return false;
        }
        is_start_line = false;
    }
    return false;
}

} // namespace endivelatch

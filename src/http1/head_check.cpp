#include "endivelatch/http1/head_check.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace endivelatch {

namespace {

bool is_token_char(char c)
{
    const bool is_alphanumeric =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return is_alphanumeric || std::string_view{"!#$%&'*+-.^_`|~"}.find(c) != std::string_view::npos;
}

bool is_value_char(char c)
{
    constexpr char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && c != del);
}

/// Returns the number of headers with the name.
std::ptrdiff_t count_headers(const http_headers& headers, std::string_view name)
{
    return std::count_if(headers.begin(), headers.end(),
                         [&](const auto& it) { return equals_ignoring_case(it.name, name); });
}

/// Returns whether the text is a number of bytes, with nothing but blanks around it.
bool is_byte_count(std::string_view text)
{
    const auto digits = without_blanks(text);
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), n);
    return ec == std::errc{} && end == digits.data() + digits.size();
}

bool has_stray_line_end(std::string_view line)
{
    return line.find_first_of(std::string_view{"\r\n\0", 3}) != std::string_view::npos;
}

} // namespace

bool is_token(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_header_line(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto value = line.substr(colon + 1);
    return is_token(line.substr(0, colon)) &&
           std::all_of(value.begin(), value.end(), is_value_char);
}

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

bool has_unambiguous_length(const http_headers& headers)
{
    if (count_headers(headers, "content-length") + count_headers(headers, "transfer-encoding") >
        1) {
        return false;
    }
    const auto* length = find_header_ignoring_case(headers, "content-length");
    const auto* coding = find_header_ignoring_case(headers, "transfer-encoding");
    return (length == nullptr || is_byte_count(*length)) &&
           (coding == nullptr || equals_ignoring_case(without_blanks(*coding), "chunked"));
}

std::optional<int> parse_status_line(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t status_at = version.size() + 2;
    constexpr std::size_t status_size = 3;
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
    if (line.size() < status_at + status_size || !line.starts_with(version) ||
        !is_digit(line[version.size()]) || line[status_at - 1] != ' ') {
        return std::nullopt;
    }
    const auto digits = line.substr(status_at, status_size);
    const auto rest = line.substr(status_at + status_size);
    unsigned status = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + status_size, status);
    const bool is_number = ec == std::errc{} && end == digits.data() + status_size;
    if (!is_number || status < first_status || status > last_status ||
        (!rest.empty() && rest.front() != ' ')) {
        return std::nullopt;
    }
    return static_cast<int>(status);
}

} // namespace endivelatch

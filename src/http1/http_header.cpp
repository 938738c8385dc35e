#include "endivelatch/http1/http_header.hpp"

#include <algorithm>

namespace endivelatch {

const std::string* find_header(const http_headers& headers, std::string_view name)
{
    for (const auto& it : headers) {
        if (it.name == name) {
            return &it.value;
        }
    }
    return nullptr;
}

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

const std::string* find_header_ignoring_case(const http_headers& headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(),
                                 [&](const auto& h) { return equals_ignoring_case(h.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

std::string_view without_blanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::vector<std::string_view> split_list(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto part = without_blanks(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::string to_lower(std::string_view text)
{
    std::string lower{text};
    for (char& c : lower) {
        if (c >= 'A' && c <= 'Z') {
            c = static_cast<char>(c - 'A' + 'a');
        }
    }
    return lower;
}

} // namespace endivelatch

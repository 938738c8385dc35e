#include "endivelatch/base/json_text.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace endivelatch {

std::size_t json_depth(std::string_view text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            is_in_string = !is_in_string;
        }
        else if (is_in_string) {
            i += c == '\\' ? 1 : 0; // The next character is escaped.
        }
        else if (c == '[' || c == '{') {
            deepest = std::max(deepest, ++depth);
        }
        else if (c == ']' || c == '}') {
            depth -= std::min<std::size_t>(depth, 1);
        }
    }
    return deepest;
}

nlohmann::json parse_json(std::string_view text)
{
    if (json_depth(text) > max_json_depth) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace endivelatch

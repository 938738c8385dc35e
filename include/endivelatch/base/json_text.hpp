#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace endivelatch {

/// Deepest nesting of arrays and objects that is accepted in JSON from outside the process. The
/// functions of the JSON library that print, copy, merge and compare values recurse once a level.
inline constexpr std::size_t max_json_depth = 64;

/// Returns the deepest nesting of arrays and objects in a JSON text: 0 for a number, 1 for `[]`.
/// The result for text that is not JSON is of no use.
std::size_t json_depth(std::string_view text);

/// Parses JSON from outside the process: responses, objects of the platform, requests. Returns a
/// discarded value if the text is malformed or nested deeper than `max_json_depth`.
nlohmann::json parse_json(std::string_view text);

} // namespace endivelatch

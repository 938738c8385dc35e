#pragma once

#include <string_view>

namespace endivelatch {

/// Field of an entry that says who changed it last and when.
constexpr std::string_view stamp_field = "changed";

/// Fields of a configuration object.
constexpr std::string_view entries_field = "entries";
constexpr std::string_view changes_field = "changes";

} // namespace endivelatch

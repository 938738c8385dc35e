#pragma once

#include <string_view>

namespace endivelatch {

/// Field of an entry that holds the metadata of its last change.
constexpr std::string_view last_change_field = "changed";

/// Fields of a configuration object: its entries, and the identifiers of recent changes.
constexpr std::string_view entries_field = "entries";
constexpr std::string_view changes_field = "changes";

} // namespace endivelatch

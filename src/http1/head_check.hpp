#pragma once

#include <string_view>

namespace endivelatch {

/// Returns whether a message head is unambiguous: every line ends with CRLF, none is folded, and
/// each header name is a token directly followed by a colon (RFC 9112, sections 2.2 and 5).
/// Takes the head with its final empty line.
bool is_strict_head(std::string_view head);

} // namespace endivelatch

#pragma once

#include <string_view>

namespace endivelatch {

/// Returns whether a message head is strictly formed: every line ends with CRLF, no header is
/// folded, and each header name is a token directly followed by a colon (RFC 9112, sections 2.2
/// and 5). `head` includes the empty line that ends it.
bool is_strict_head(std::string_view head);

} // namespace endivelatch

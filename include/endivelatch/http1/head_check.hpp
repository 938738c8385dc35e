#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <optional>
#include <string_view>

/// Checks of message heads that parsers in use are too lenient for.
namespace endivelatch {

/// Returns whether a message head is strictly formed: every line ends with CRLF, no header is
/// folded, and each header name is a token directly followed by a colon (RFC 9112, sections 2.2
/// and 5). `head` includes the empty line that ends it.
bool is_strict_head(std::string_view head);

/// Returns whether all characters may stand in a header name (RFC 9110, section 5.6.2).
bool is_token(std::string_view text);

/// Returns whether a line without its line end is a header: a token directly followed by a colon,
/// and no control character but tabs in the value.
bool is_header_line(std::string_view line);

/// Returns whether the headers give the length of the body in at most one way: one
/// `Content-Length`, or one `Transfer-Encoding` that is `chunked` (RFC 9112, section 6.3). Other
/// transfer codings, which no request asks for, are not decoded.
bool has_unambiguous_length(const http_headers& headers);

/// Returns the status of a status line without its line end, or nothing if the line is malformed
/// (RFC 9112, section 4), of another major version than 1, or its status is not from 100 to 599.
/// The bytes after the status may be missing.
std::optional<int> parse_status_line(std::string_view line);

/// Number of bytes of a status line that `parse_status_line` needs.
inline constexpr std::size_t checked_status_line_size = 13;

} // namespace endivelatch

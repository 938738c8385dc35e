#pragma once

#include "endivelatch/http1/http_header.hpp"

#include <string>
#include <string_view>

/// Serialisation of HTTP/1.1 messages.
namespace endivelatch {

/// Returns whether the header is hop-by-hop (RFC 9110, section 7.6.1).
bool is_hop_by_hop(std::string_view name);

/// Removes all hop-by-hop headers, those named by `Connection` included, and `Content-Length`,
/// which the sender of the forwarded message sets again.
void remove_hop_by_hop(http_headers& headers);

/// Returns the reason phrase of a status, such as `OK`.
std::string_view reason_phrase(int status);

/// Appends `NAME: VALUE` and CRLF.
void append_header(std::string& out, std::string_view name, std::string_view value);

/// Appends all headers.
void append_headers(std::string& out, const http_headers& headers);

/// Appends the status line of a response.
void append_status_line(std::string& out, int status);

/// Appends one chunk of a chunked body. Empty input appends nothing, since an empty chunk would
/// end the body.
void append_chunk(std::string& out, std::string_view bytes);

/// The chunk of size zero and the empty trailer section that end a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace endivelatch

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace endivelatch {

/// Returns the SHA-256 digest of the text, 32 bytes.
std::string sha256(std::string_view text);

/// Returns the HMAC-SHA-256 of the text under the key, 32 bytes (RFC 2104).
std::string hmac_sha256(std::string_view key, std::string_view text);

/// Returns whether both texts are equal, in time that depends only on their length.
bool equal_in_constant_time(std::string_view a, std::string_view b);

/// Returns the bytes as lowercase hexadecimal digits.
std::string to_hex(std::string_view bytes);

/// Encodes the bytes in base64url without padding (RFC 4648, section 5).
std::string to_base64url(std::string_view bytes);

/// Decodes base64url without padding; returns nothing when the text is malformed.
std::optional<std::string> from_base64url(std::string_view text);

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <optional>

namespace endivelatch {

/// Maximum size of an idempotency key, in bytes.
constexpr std::size_t max_booking_key_size = 128;

/// Returns the time in an idempotency key of the form `<unix seconds>-<text>`, where the text is
/// non-empty printable ASCII without spaces. Returns nothing if the key is malformed.
std::optional<wall_time> booking_key_time(const booking_key& key);

} // namespace endivelatch

#pragma once

#include <cstdint>

namespace endivelatch {

/// Returns the maximum number of requests in flight per target, as in consistent hashing with
/// bounded loads: `max(1, ceil(load_bound * (in_flight_total + 1) / targets))`, or one when there
/// are no targets.
std::uint32_t load_cap(double load_bound, std::uint64_t in_flight_total, std::uint32_t targets);

} // namespace endivelatch

#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace endivelatch {

/// Returns the number of schedules to run: `default_count`, or the environment variable
/// FUZZ_SCHEDULES if that is higher.
inline std::uint64_t schedule_count(std::uint64_t default_count)
{
    const char* const configured = std::getenv("FUZZ_SCHEDULES");
    return configured == nullptr
               ? default_count
               : std::max<std::uint64_t>(default_count, std::strtoull(configured, nullptr, 10));
}

} // namespace endivelatch

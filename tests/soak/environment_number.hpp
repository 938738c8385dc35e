#pragma once

#include <cstdint>
#include <cstdlib>

namespace endivelatch::soak {

/// Returns the number in an environment variable, or the fallback if it is not set.
inline std::uint64_t environment_number(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace endivelatch::soak

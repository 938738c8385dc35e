#pragma once

#include <cstddef>
#include <string>

namespace endivelatch {

/// Returns bytes from the operating system's cryptographically secure random number generator.
std::string secure_random_bytes(std::size_t n);

} // namespace endivelatch

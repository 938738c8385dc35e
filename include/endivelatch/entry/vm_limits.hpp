#pragma once

#include <cstddef>

/// Reads the limits that the operating system sets for this process.
namespace endivelatch {

/// Returns the memory limit of the control group of this process, or else the physical memory, in
/// bytes.
std::size_t read_memory_limit();

/// Returns how many descriptors this process may open.
std::size_t read_descriptor_limit();

} // namespace endivelatch

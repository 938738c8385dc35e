#include "endivelatch/base/load_cap.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {

namespace {

/// Subtracted before `ceil`, so that a rounding error does not raise an exact integer by one.
constexpr double rounding_tolerance = 1e-9;

} // namespace

std::uint32_t load_cap(double load_bound, std::uint64_t in_flight_total, std::uint32_t targets)
{
    if (targets == 0) {
        return 1;
    }
    const auto bound = load_bound * static_cast<double>(in_flight_total + 1) / targets;
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(bound - rounding_tolerance)));
}

} // namespace endivelatch

#include "endivelatch/membership/crash_report.hpp"

#include <array>
#include <charconv>

namespace endivelatch {

std::string format_part(part_key part)
{
    constexpr int base = 16;
    std::array<char, 16> buf{};
    const auto written = std::to_chars(buf.data(), buf.data() + buf.size(), part.value(), base);
    return {buf.data(), written.ptr};
}

} // namespace endivelatch

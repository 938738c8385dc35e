#include "endivelatch/base/time.hpp"

#include <ctime>

namespace endivelatch {

boot_clock::time_point boot_clock::now()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    const auto since_boot = std::chrono::seconds{ts.tv_sec} + std::chrono::nanoseconds{ts.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace endivelatch

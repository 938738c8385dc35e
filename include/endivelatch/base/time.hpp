#pragma once

#include <chrono>
#include <concepts>

namespace endivelatch {

/// Duration with the time resolution that is used throughout a router.
using duration = std::chrono::microseconds;

/// Clock of the time since boot, including the time during which the VM was suspended.
struct boot_clock {
    using duration = endivelatch::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// Returns the current time of this VM.
    static time_point now();
};

/// A point in time on the boot clock, as passed to all event handlers.
using time_point = boot_clock::time_point;

/// Wall-clock time in microseconds since 1970. Used only in keys and logs.
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

/// A source of the current time.
template <class T>
concept clock_source = requires(T clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// A clock for tests that changes only when it is advanced.
class manual_clock {
public:
    /// Returns the current time.
    time_point now() const { return now_; }

    /// Advances the clock.
    void advance(duration by) { now_ += by; }

private:
    time_point now_{std::chrono::hours{1}};
};

} // namespace endivelatch

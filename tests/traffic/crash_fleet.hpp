#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/crash_evidence.hpp"

#include <optional>
#include <vector>

/// A simulated fleet of routers that share their evidence of crashes, before targets that crash.
namespace endivelatch {

/// Requests and faults of a simulated fleet. Times are in the units of `duration`.
struct crash_fleet_load {
    std::size_t routers = 8;
    std::size_t targets = 12;
    double requests_per_second = 20; ///< Sound requests that share five first parts.
    double deadly_per_second = 1;
    std::size_t deadly_parts = 1;
    bool is_deadly_part_first = false; ///< Else amid the prompt.
    /// Time from the first event of an answer to the crash, and from there to its end if sound. A
    /// negative time is before the first event.
    duration crash_after{-50'000};
    bool is_crash_after_random = false; ///< Anywhere from the first event to `crash_after`.
    duration answer_time{1'000'000};
    double rare_per_second = 0.2; ///< Sound requests with a first part that only deadly ones share.
    double accidents_per_second = 0; ///< Crashes of targets that no request causes.
    std::size_t lost_at_once = 0;    ///< Targets that fail together, 0.5 s into the deadly ones.
    bool has_history = true;         ///< Sound requests came for 20 s before the first deadly one.
    std::uint64_t seed = 1;
};

struct crash_fleet_result {
    int crashes = 0; ///< By deadly requests.
    int late_deadly =
        0;        ///< Most deadly requests with one part sent 3 s or more after its 5th crash.
    int rare = 0; ///< Rare requests from 6 s after the fifth crash on, or the last.
    int rare_refused = 0; ///< Of these.
    int sound = 0;        ///< Other sound requests in that time.
    int sound_refused = 0;
};

/// Runs the fleet until 30 s after the first deadly request.
crash_fleet_result run_crash_fleet(const crash_fleet_load& load);

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <unordered_map>

namespace endivelatch {

/// Detects organisations that hold more than their weighted share of the slots for some time.
///
/// The comparison uses a moving average of the slots held, so that short fluctuations around an
/// organisation's usual use do not count as a surge.
class surge_detector {
public:
    /// Counts a slot taken by the organisation.
    void acquire(const organisation_id& organisation, std::uint32_t weight, time_point now);

    /// Counts a slot released by the organisation.
    void release(const organisation_id& organisation, time_point now);

    /// Returns whether the organisation is in a surge and holds at least `min_held_share` of its
    /// share. Shares are by weight, among the organisations that hold any of the `slots`. A surge
    /// begins when the moving average rises to `surge_factor` times the share and ends when it
    /// falls below `surge_end_factor` times the share.
    bool is_surging(const organisation_id& organisation, std::uint32_t weight, std::uint64_t slots,
                    time_point now);

    /// Time constant of the exponential moving average.
    static constexpr duration smoothing_time{60'000'000};
    static constexpr double surge_factor = 1.5;
    static constexpr double surge_end_factor = 0.6;
    static constexpr double min_held_share = 0.7;

private:
    struct entry {
        std::uint32_t held = 0;
        std::uint32_t weight = 0; ///< As of the first slot taken.
        double average = 0;
        time_point updated_at{};
        bool has_surged = false;
    };

    /// Returns the moving average of the slots held, as of now.
    static double average(const entry& e, time_point now);

    std::unordered_map<organisation_id, entry> entries_;
    std::uint64_t total_weight_ = 0; ///< Of the organisations that hold slots.
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/load_cap.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

/// Bounds the load of each target relative to the mean load of its pool.
namespace endivelatch {

/// Estimates the requests in flight on all targets of one pool. The estimate is never too high as
/// long as no target's count falls by more than `age / decay_time` of its reported value within
/// `age`.
///
/// Counts of targets owned here are exact. Other targets count with their last report, which decays
/// linearly to zero over `decay_time`. Repeat unchanged reports within
/// `decay_time * (1 - 1 / load_bound)`; otherwise the bound keeps the pool's load from rising.
class pool_load {
public:
    /// Takes the time over which a report's weight decays to zero.
    explicit pool_load(duration decay_time = default_decay_time) : decay_time_{decay_time} {}

    /// Adds a target to the mean, with a load of zero until one is recorded.
    void add_target(const target_id& target);

    /// Removes a target and its load from the mean.
    void remove_target(const target_id& target);

    /// Records the exact count of a target that this router owns; replaces any report.
    void set_own(const target_id& target, std::uint32_t in_flight);

    /// Ends the ownership of a target: its load is zero until the next report.
    void clear_own(const target_id& target);

    /// Records another owner's count as of `measured_at`. Ignored if the target is unknown or owned
    /// here, or if a newer report is present.
    void report(const target_id& target, std::uint32_t in_flight, time_point measured_at);

    /// Returns a conservative (low) estimate of the requests in flight on all targets.
    std::uint64_t total(time_point now);

    /// Returns the number of targets in the mean.
    std::uint32_t targets() const { return static_cast<std::uint32_t>(targets_.size()); }

    static constexpr duration default_decay_time{15'000'000};

private:
    struct entry {
        std::uint32_t in_flight = 0;
        time_point measured_at{};
        bool is_own = false;
    };

    /// Subtracts the entry's count from the sums and resets it.
    void subtract(const target_id& target, entry& e);

    std::unordered_map<target_id, entry> targets_;
    std::set<std::pair<time_point, target_id>> report_order_; ///< Non-zero reports, oldest first.
    std::uint64_t own_total_ = 0;
    std::int64_t reported_total_ = 0;
    std::int64_t weighted_time_ms_ = 0; ///< Sum of count times report time.
    duration decay_time_;
};

} // namespace endivelatch

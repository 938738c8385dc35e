#pragma once

#include "endivelatch/base/time.hpp"

#include <optional>

/// Estimates of how fast targets work whose machines change their speed.
namespace endivelatch {

/// Slowdown that a target has reported: the time that work takes there, relative to the usual time.
struct slowdown_report {
    double slowdown = 1;
    time_point at{};

    friend bool operator==(const slowdown_report&, const slowdown_report&) = default;
};

/// Learns from successive reports how the slowdown of a pool's targets is distributed and how long
/// it lasts, and predicts the slowdown of a target from its last report.
class machine_speed {
public:
    /// Records two successive reports of one target.
    void record(const slowdown_report& earlier, const slowdown_report& later);

    /// Returns the expected slowdown of a target: its last report as far as that still holds,
    /// otherwise the mean. Returns 1 while no report is known.
    double expected(const std::optional<slowdown_report>& last, time_point now) const;

    /// Returns whether the targets' reports differ. A single odd report is forgotten in time.
    bool varies() const { return variance_ > min_variance; }

    /// Returns the mean slowdown of the pool's targets.
    double mean() const { return mean_; }

    /// Returns the time after which a report says about a third (1/e) as much as a new one; zero
    /// while that is unknown.
    duration persistence() const;

    /// Number of report pairs from which the persistence is used.
    static constexpr double min_pairs = 20;
    /// Variance from which the slowdowns differ: a deviation of 3% of the usual time.
    static constexpr double min_variance = 0.001;
    /// Number of recent pairs that the estimates follow.
    static constexpr double memory_pairs = 2'000;
    /// Longest time between two reports that says something about the persistence.
    static constexpr duration max_gap{1'500'000};

private:
    double mean_ = 1;
    double pairs_ = 0;        ///< Recorded pairs, up to `memory_pairs`.
    double variance_ = 0;     ///< Mean square deviation of the earlier reports.
    double covariance_ = 0;   ///< Mean product of both deviations.
    double weighted_gap_ = 0; ///< Mean time between the reports in s, weighted like the variance.
};

} // namespace endivelatch

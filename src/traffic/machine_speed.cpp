#include "endivelatch/traffic/machine_speed.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {

namespace {

/// Range of the correlation from which a persistence can be computed.
constexpr double min_correlation = 0.01;
constexpr double max_correlation = 0.99;

/// Weight below which a report is ignored, so that routers with old reports choose alike.
constexpr double min_report_weight = 0.01;

double to_seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

} // namespace

void machine_speed::record(const slowdown_report& earlier, const slowdown_report& later)
{
    const auto gap = later.at - earlier.at;
    if (gap <= duration{} || gap > max_gap) {
        return;
    }
    pairs_ = std::min(pairs_ + 1, memory_pairs);
    const auto step = 1 / pairs_;
    mean_ += step * (later.slowdown - mean_);
    const auto deviation = earlier.slowdown - mean_;
    const auto square = deviation * deviation;
    variance_ += step * (square - variance_);
    covariance_ += step * (deviation * (later.slowdown - mean_) - covariance_);
    weighted_gap_ += step * (square * to_seconds(gap) - weighted_gap_);
}

duration machine_speed::persistence() const
{
    if (pairs_ < min_pairs || variance_ <= 0) {
        return {};
    }
    const auto correlation = std::min(covariance_ / variance_, max_correlation);
    if (correlation < min_correlation) {
        return {};
    }
    // Exponential decay: correlation = exp(-gap / persistence).
    const auto mean_gap = weighted_gap_ / variance_;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{-mean_gap / std::log(correlation)});
}

double machine_speed::expected(const std::optional<slowdown_report>& last, time_point now) const
{
    const auto lasts = persistence();
    if (!last || lasts <= duration{}) {
        return mean_;
    }
    const auto age = std::max(now - last->at, duration{});
    const auto weight = std::exp(-to_seconds(age) / to_seconds(lasts));
    return weight < min_report_weight ? mean_ : mean_ + (last->slowdown - mean_) * weight;
}

} // namespace endivelatch

#pragma once

#include "endivelatch/base/time.hpp"

#include <cstdint>

/// Estimates of the work that requests cause at the targets of a pool.
namespace endivelatch {

/// Tracks a quantile of samples without storing them. Each sample moves the estimate by a factor
/// towards it, so single outliers such as waits in a queue have a bounded effect. The estimate
/// stays within `max_deviation` times its start.
class quantile_estimate {
public:
    /// `quantile` is the share of the samples that are below the estimate.
    constexpr quantile_estimate(double start, double quantile)
        : start_{start}, value_{start}, quantile_{quantile}
    {
    }

    /// Adds a sample; samples that are not positive are ignored.
    void add(double sample);

    /// Returns the estimate, which is the start value before the first sample.
    double value() const { return value_; }

    /// Returns the number of samples.
    std::uint64_t samples() const { return samples_; }

    /// Relative change of the estimate per sample: from the first, decreasing to the last.
    static constexpr double first_step = 0.5;
    static constexpr double last_step = 0.05;
    /// Maximum ratio of the estimate to its start, and of the start to the estimate.
    static constexpr double max_deviation = 8;

private:
    double start_;
    double value_;
    double quantile_;
    std::uint64_t samples_ = 0;
};

/// Work per request at the targets of one pool, estimated from their own answers.
class work_estimate {
public:
    /// Records the time to the first byte of an answer after `prefill_tokens` had to be prefilled.
    void record_prefill(std::uint32_t prefill_tokens, duration first_byte_after);

    /// Records the time of a complete answer of a plain service.
    void record_service_time(duration time);

    /// Returns the prompt tokens that an engine prefills per ms, among other requests.
    double prefill_tokens_per_ms() const { return 1 / prefill_ms_per_token_.value(); }

    /// Returns the time of a request at a plain service without waits, in ms.
    double service_time_ms() const { return service_time_ms_.value(); }

    /// Fewest tokens to prefill from which the time of an answer tells the rate; below, the steps
    /// of the batch dominate.
    static constexpr std::uint32_t min_prefill_tokens = 1'000;
    /// Start values: those of the first deployments' engines and services.
    static constexpr double initial_prefill_tokens_per_ms = 40;
    static constexpr double initial_service_time_ms = 15;

private:
    // Quantiles below the median, since answers are delayed by waits but never hastened.
    quantile_estimate prefill_ms_per_token_{1 / initial_prefill_tokens_per_ms, 0.3};
    quantile_estimate service_time_ms_{initial_service_time_ms, 0.3};
};

} // namespace endivelatch

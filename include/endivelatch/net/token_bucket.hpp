#pragma once

#include "endivelatch/base/time.hpp"

#include <algorithm>

namespace endivelatch {

/// Token bucket rate limiter.
class token_bucket {
public:
    /// `rate` is in tokens per second, `burst` is the capacity. The bucket starts full.
    token_bucket(double rate, double burst) : rate_{rate}, burst_{burst}, tokens_{burst} {}

    /// Consumes a token; returns false when none is available.
    bool take(time_point now)
    {
        refill(now);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /// Returns the time until a token is available; zero when there is one.
    duration wait(time_point now)
    {
        refill(now);
        const double missing = std::max(0.0, 1.0 - tokens_);
        return std::chrono::ceil<duration>(std::chrono::duration<double>{missing / rate_});
    }

private:
    void refill(time_point now)
    {
        const auto passed = std::chrono::duration<double>{std::max(now - last_, duration::zero())};
        tokens_ =
            last_ == time_point{} ? burst_ : std::min(burst_, tokens_ + passed.count() * rate_);
        last_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    time_point last_;
};

} // namespace endivelatch

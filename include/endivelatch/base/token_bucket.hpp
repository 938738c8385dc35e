#pragma once

#include "endivelatch/base/time.hpp"

#include <algorithm>

namespace endivelatch {

/// Token bucket rate limiter.
class token_bucket {
public:
    /// `rate` is in tokens per second, `burst` is the capacity. The bucket starts full.
    token_bucket(double rate, double burst) : token_bucket{rate, burst, burst} {}

    /// As above, but the bucket starts with the given number of tokens.
    token_bucket(double rate, double burst, double tokens)
        : rate_{rate}, burst_{burst}, tokens_{tokens}
    {
    }

    /// Changes rate and capacity. Tokens above the new capacity are lost.
    void set_rate(double rate, double burst, time_point now)
    {
        refill(now);
        rate_ = rate;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst);
    }

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
    duration wait(time_point now) const
    {
        const double missing = std::max(0.0, 1.0 - tokens_at(now));
        return std::chrono::ceil<duration>(std::chrono::duration<double>{missing / rate_});
    }

private:
    double tokens_at(time_point now) const
    {
        if (last_ == time_point{}) {
            return tokens_;
        }
        const auto passed = std::chrono::duration<double>{std::max(now - last_, duration::zero())};
        return std::min(burst_, tokens_ + passed.count() * rate_);
    }

    void refill(time_point now)
    {
        tokens_ = tokens_at(now);
        last_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    time_point last_;
};

} // namespace endivelatch

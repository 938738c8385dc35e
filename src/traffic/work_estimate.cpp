#include "endivelatch/traffic/work_estimate.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

double to_ms(duration time)
{
    return std::chrono::duration<double, std::milli>{time}.count();
}

} // namespace

void quantile_estimate::add(double sample)
{
    if (sample <= 0) {
        return;
    }
    ++samples_;
    const auto step = std::max(first_step / static_cast<double>(samples_), last_step);
    const bool is_above = sample > value_;
    const auto next =
        is_above ? value_ * (1 + 2 * step * quantile_) : value_ / (1 + 2 * step * (1 - quantile_));
    // A step must not pass the sample, so that equal samples are met exactly.
    value_ = is_above ? std::min(next, sample) : std::max(next, sample);
    value_ = std::clamp(value_, start_ / max_deviation, start_ * max_deviation);
}

void work_estimate::record_prefill(std::uint32_t prefill_tokens, duration first_byte_after)
{
    if (prefill_tokens >= min_prefill_tokens) {
        prefill_ms_per_token_.add(to_ms(first_byte_after) / prefill_tokens);
    }
}

void work_estimate::record_service_time(duration time)
{
    service_time_ms_.add(to_ms(time));
}

} // namespace endivelatch

#include "endivelatch/admission/retry_budget.hpp"

#include <algorithm>
#include <numeric>

namespace endivelatch {

retry_budget::retry_budget(double share, std::uint32_t burst) : share_{share}, burst_{burst} {}

retry_budget::slot& retry_budget::advance(time_point now)
{
    constexpr auto slots = static_cast<std::int64_t>(slot_count);
    const auto number = now.time_since_epoch().count() / (window.count() / slots);
    const auto first_stale = std::max(current_ + 1, number - slots + 1);
    for (auto n = first_stale; n <= number; ++n) {
        slots_.at(static_cast<std::size_t>(n % slots)) = slot{};
    }
    current_ = std::max(current_, number);
    return slots_.at(static_cast<std::size_t>(current_ % slots));
}

void retry_budget::record_request(time_point now)
{
    ++advance(now).requests;
    first_request_at_ = first_request_at_.value_or(now);
}

request_rate retry_budget::rate(time_point now)
{
    constexpr duration slot_time = window / static_cast<std::int64_t>(slot_count);
    advance(now);
    const auto requests =
        std::accumulate(slots_.begin(), slots_.end(), 0.0, [](double sum, const auto& it) {
            return sum + static_cast<double>(it.requests);
        });
    const auto counted = std::clamp(now - first_request_at_.value_or(now), slot_time, window);
    return {requests / std::chrono::duration<double>{counted}.count()};
}

bool retry_budget::try_retry(time_point now)
{
    auto& current = advance(now);
    slot sum;
    for (const auto& it : slots_) {
        sum.requests += it.requests;
        sum.retries += it.retries;
    }
    const auto allowed = share_ * static_cast<double>(sum.requests) + burst_;
    if (static_cast<double>(sum.retries) + 1 > allowed) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace endivelatch

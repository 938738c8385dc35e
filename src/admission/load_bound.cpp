#include "endivelatch/admission/load_bound.hpp"

#include <algorithm>
#include <cmath>

namespace endivelatch {
namespace {

/// Converts a time to milliseconds since boot.
std::int64_t to_ms(time_point t)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count();
}

} // namespace

void pool_load::subtract(const target_id& target, entry& e)
{
    if (e.is_own) {
        own_total_ -= e.in_flight;
    }
    else if (e.in_flight != 0) {
        reported_total_ -= e.in_flight;
        weighted_time_ms_ -= to_ms(e.measured_at) * e.in_flight;
        report_order_.erase({e.measured_at, target});
    }
    e.in_flight = 0;
}

void pool_load::add_target(const target_id& target)
{
    targets_.try_emplace(target);
}

void pool_load::remove_target(const target_id& target)
{
    const auto it = targets_.find(target);
    if (it == targets_.end()) {
        return;
    }
    subtract(target, it->second);
    targets_.erase(it);
}

void pool_load::set_own(const target_id& target, std::uint32_t in_flight)
{
    const auto it = targets_.find(target);
    if (it == targets_.end()) {
        return;
    }
    subtract(target, it->second);
    it->second.is_own = true;
    it->second.in_flight = in_flight;
    own_total_ += in_flight;
}

void pool_load::clear_own(const target_id& target)
{
    const auto it = targets_.find(target);
    if (it == targets_.end() || !it->second.is_own) {
        return;
    }
    subtract(target, it->second);
    it->second = entry{};
}

void pool_load::report(const target_id& target, std::uint32_t in_flight, time_point measured_at)
{
    const auto it = targets_.find(target);
    if (it == targets_.end() || it->second.is_own || it->second.measured_at > measured_at) {
        return;
    }
    auto& e = it->second;
    subtract(target, e);
    e.in_flight = in_flight;
    e.measured_at = measured_at;
    if (in_flight == 0) {
        return;
    }
    reported_total_ += in_flight;
    weighted_time_ms_ += to_ms(measured_at) * in_flight;
    report_order_.insert({measured_at, target});
}

std::uint64_t pool_load::total(time_point now)
{
    while (!report_order_.empty() && report_order_.begin()->first + decay_time_ <= now) {
        const auto target = report_order_.begin()->second;
        subtract(target, targets_.at(target));
    }
    const auto decay_ms = std::max<std::int64_t>(1, decay_time_.count() / 1000);
    const auto age_sum_ms = to_ms(now) * reported_total_ - weighted_time_ms_;
    const auto decayed = (std::max<std::int64_t>(0, age_sum_ms) + decay_ms - 1) / decay_ms;
    return own_total_ +
           static_cast<std::uint64_t>(std::max<std::int64_t>(0, reported_total_ - decayed));
}

} // namespace endivelatch

#include "endivelatch/traffic/yield_order.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace endivelatch {

bool is_ahead(const waiting_request& a, const waiting_request& b)
{
    return std::tuple{a.latest_start - a.advance, a.is_idempotent, a.sequence} <
           std::tuple{b.latest_start - b.advance, b.is_idempotent, b.sequence};
}

service_shares::record service_shares::aged(const record& it, time_point now)
{
    const auto age =
        std::chrono::duration<double>{now - it.at} / std::chrono::duration<double>{lifetime};
    const auto weight = std::exp(-std::max(age, 0.0));
    return {it.arrived * weight, it.served * weight, now};
}

service_shares::record& service_shares::update(const yield_group& group, time_point now)
{
    auto& it = records_[group];
    it = aged(it, now);
    return it;
}

void service_shares::record_arrival(const yield_group& group, time_point now)
{
    ++update(group, now).arrived;
}

void service_shares::record_service(const yield_group& group, time_point now)
{
    ++update(group, now).served;
}

std::uint32_t service_shares::most_urgent() const
{
    std::optional<std::uint32_t> priority;
    for (const auto& [group, it] : records_) {
        priority = std::min(priority.value_or(group.priority), group.priority);
    }
    return priority.value_or(0);
}

bool service_shares::is_starved(const yield_group& group, time_point now) const
{
    const auto own = records_.find(group);
    if (group.is_excess || own == records_.end()) {
        return false;
    }
    const auto it = aged(own->second, now);
    if (it.arrived < min_arrivals) {
        return false;
    }
    record all;
    record others_of_priority;
    for (const auto& [key, value] : records_) {
        const auto other = aged(value, now);
        if (key.is_excess) {
            continue;
        }
        all.arrived += other.arrived;
        all.served += other.served;
        if (key.priority == group.priority && !key.is_large) {
            others_of_priority = other;
        }
    }
    const auto is_below = [&](const record& reference, double min_share) {
        return it.served * reference.arrived < min_share * reference.served * it.arrived;
    };
    const auto steps = group.priority - std::min(group.priority, most_urgent());
    const auto min_share = std::max(max_group_share - group_share_step * steps, min_group_share);
    return is_below(all, min_share) ||
           (group.is_large && is_below(others_of_priority, min_large_share));
}

std::vector<yield_group> service_shares::in_order(std::vector<yield_group> groups,
                                                  time_point now) const
{
    std::sort(groups.begin(), groups.end());
    std::stable_partition(groups.begin(), groups.end(),
                          [&](const auto& it) { return is_starved(it, now); });
    return groups;
}

void release_pace::record_release(std::size_t others, time_point now)
{
    if (now - last_ > lifetime) {
        releases_ = 0;
    }
    else if (did_others_remain_) {
        const auto interval = static_cast<double>((now - last_).count());
        interval_us_ =
            releases_ == 0 ? interval : interval_us_ + newest_weight * (interval - interval_us_);
        ++releases_;
    }
    last_ = now;
    did_others_remain_ = others > 0;
}

duration release_pace::expected_wait(std::size_t ahead, time_point now) const
{
    if (releases_ < min_releases || now - last_ > lifetime) {
        return {};
    }
    return duration{std::llround(interval_us_ * static_cast<double>(ahead))};
}

} // namespace endivelatch

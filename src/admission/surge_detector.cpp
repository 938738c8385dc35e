#include "endivelatch/admission/surge_detector.hpp"

#include <cmath>

namespace endivelatch {

double surge_detector::average(const entry& e, time_point now)
{
    const auto elapsed = static_cast<double>((now - e.updated_at).count());
    const auto kept = std::exp(-elapsed / static_cast<double>(smoothing_time.count()));
    return e.held + (e.average - e.held) * kept;
}

void surge_detector::acquire(const organisation_id& organisation, std::uint32_t weight,
                             time_point now)
{
    auto& e = entries_[organisation];
    if (e.held == 0) {
        e.weight = weight;
        total_weight_ += weight;
    }
    e.average = average(e, now);
    e.updated_at = now;
    ++e.held;
}

void surge_detector::release(const organisation_id& organisation, time_point now)
{
    const auto it = entries_.find(organisation);
    if (it == entries_.end()) {
        return;
    }
    auto& e = it->second;
    e.average = average(e, now);
    e.updated_at = now;
    if (--e.held == 0) {
        total_weight_ -= e.weight;
        entries_.erase(it);
    }
}

bool surge_detector::is_surging(const organisation_id& organisation, std::uint32_t weight,
                                std::uint64_t slots, time_point now)
{
    const auto it = entries_.find(organisation);
    if (it == entries_.end()) {
        return false;
    }
    auto& e = it->second;
    const auto share = static_cast<double>(slots) * weight / static_cast<double>(total_weight_);
    const auto smoothed = average(e, now);
    e.has_surged = smoothed >= share * (e.has_surged ? surge_end_factor : surge_factor);
    return e.has_surged && e.held >= share * min_held_share;
}

} // namespace endivelatch

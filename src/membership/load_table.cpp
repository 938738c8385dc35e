#include "endivelatch/membership/load_table.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>

namespace endivelatch {

target_key key_of(const target_id& id)
{
    return target_key{static_cast<std::uint32_t>(stable_hash(id.str()))};
}

bool load_table::update(target_key target, std::uint32_t in_flight, time_point reported_at,
                        std::optional<double> slowdown)
{
    const record report{in_flight, reported_at, slowdown};
    const auto [it, is_new] = reports_.try_emplace(target, report);
    if (!is_new && it->second.reported_at >= reported_at) {
        return false;
    }
    it->second = report;
    has_slowdowns_ = has_slowdowns_ || slowdown;
    return true;
}

std::vector<load_report> load_table::newest(std::size_t max_count, time_point now)
{
    std::erase_if(reports_, [&](const auto& it) { return now - it.second.reported_at > lifetime; });
    std::vector<load_report> sorted;
    sorted.reserve(reports_.size());
    for (const auto& [target, it] : reports_) {
        sorted.push_back(
            {target, it.in_flight, std::max(now - it.reported_at, duration{}), it.slowdown});
    }
    const auto last =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, sorted.size()));
    std::partial_sort(sorted.begin(), last, sorted.end(), [](const auto& a, const auto& b) {
        return a.age < b.age || (a.age == b.age && a.target < b.target);
    });
    sorted.erase(last, sorted.end());
    return sorted;
}

} // namespace endivelatch

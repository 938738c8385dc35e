#include "endivelatch/membership/limit_table.hpp"

#include <algorithm>
#include <tuple>

namespace endivelatch {

void limit_table::record(target_key target, std::optional<request_rate> limit, time_point now)
{
    store(target, limit, now);
}

bool limit_table::update(target_key target, std::optional<request_rate> limit, time_point stated_at)
{
    const auto known = records_.find(target);
    if (known != records_.end() && stated_at < known->second.stated_at + min_interval) {
        return false;
    }
    store(target, limit, stated_at);
    return true;
}

void limit_table::store(target_key target, std::optional<request_rate> limit, time_point stated_at)
{
    const auto [it, is_new] = records_.try_emplace(target);
    if (is_new || it->second.limit != limit) {
        it->second.shares = 0;
    }
    it->second.limit = limit;
    it->second.stated_at = stated_at;
}

std::vector<limit_report> limit_table::next_reports(std::size_t max_count, time_point now)
{
    std::erase_if(records_, [&](const auto& it) {
        return now - it.second.stated_at > (it.second.limit ? lifetime : lifted_lifetime);
    });
    std::vector<std::pair<target_key, record_entry*>> due;
    for (auto& [target, it] : records_) {
        if (it.shares < min_shares || now - it.shared_at >= share_interval) {
            due.emplace_back(target, &it);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) {
        return std::tie(a.second->shares, a.second->shared_at, a.first) <
               std::tie(b.second->shares, b.second->shared_at, b.first);
    });
    due.resize(std::min(due.size(), max_count));
    std::vector<limit_report> reports;
    reports.reserve(due.size());
    for (const auto& [target, it] : due) {
        it->shared_at = now;
        it->shares = std::min(it->shares + 1, min_shares);
        reports.push_back({target, it->limit, std::max(now - it->stated_at, duration{})});
    }
    return reports;
}

} // namespace endivelatch

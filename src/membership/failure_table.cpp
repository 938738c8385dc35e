#include "endivelatch/membership/failure_table.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <tuple>

namespace endivelatch {

router_key key_of(const router_id& id)
{
    return router_key{static_cast<std::uint32_t>(stable_hash(id.str()))};
}

bool failure_table::update(target_key target, router_key reporter, time_point failed_at)
{
    auto& known = records_[target];
    const auto it = std::find_if(known.begin(), known.end(),
                                 [&](const auto& r) { return r.reporter == reporter; });
    if (it != known.end()) {
        const bool is_newer = failed_at >= it->failed_at + min_interval;
        if (is_newer) {
            it->failed_at = failed_at;
        }
        return is_newer;
    }
    if (known.size() < max_reporters) {
        known.push_back({reporter, failed_at});
        return true;
    }
    const auto oldest =
        std::min_element(known.begin(), known.end(),
                         [](const auto& a, const auto& b) { return a.failed_at < b.failed_at; });
    if (oldest->failed_at >= failed_at) {
        return false;
    }
    *oldest = {reporter, failed_at};
    return true;
}

std::vector<failure_report> failure_table::newest(std::size_t max_count, time_point now)
{
    std::vector<failure_report> sorted;
    for (auto& [target, known] : records_) {
        std::erase_if(known, [&](const auto& it) { return now - it.failed_at > lifetime; });
        for (const auto& it : known) {
            sorted.push_back({target, it.reporter, std::max(now - it.failed_at, duration{})});
        }
    }
    std::erase_if(records_, [](const auto& it) { return it.second.empty(); });
    const auto last =
        sorted.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, sorted.size()));
    std::partial_sort(sorted.begin(), last, sorted.end(), [](const auto& a, const auto& b) {
        return std::tie(a.age, a.target, a.reporter) < std::tie(b.age, b.target, b.reporter);
    });
    sorted.erase(last, sorted.end());
    return sorted;
}

} // namespace endivelatch

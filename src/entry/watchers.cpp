#include "endivelatch/entry/watchers.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace endivelatch {

namespace {

/// Returns the first routers in the rendezvous order.
std::vector<member> first_of(const std::vector<member>& routers, std::size_t count)
{
    const auto place = stable_hash("watchers");
    const std::span<const member> nodes{routers};
    std::vector<member> chosen;
    for (const auto it : rendezvous_top(place, nodes, std::min(count, routers.size()),
                                        [](const member& m) { return stable_hash(m.id.str()); })) {
        chosen.push_back(routers[it]);
    }
    return chosen;
}

} // namespace

std::vector<member> choose_watchers(const std::vector<member>& live)
{
    if (live.size() <= most_watching_all) {
        return live;
    }
    std::map<domain_id, std::vector<member>> domains;
    for (const auto& it : live) {
        domains[it.domain].push_back(it);
    }
    std::vector<member> watchers;
    for (const auto& [domain, routers] : domains) {
        const auto count = std::max<std::size_t>(routers.size() / routers_per_watcher, 1);
        const auto chosen = first_of(routers, count);
        watchers.insert(watchers.end(), chosen.begin(), chosen.end());
    }
    std::set<router_id> chosen_ids;
    for (const auto& it : watchers) {
        chosen_ids.insert(it.id);
    }
    for (const auto& it : first_of(live, min_watchers)) {
        if (watchers.size() < min_watchers && chosen_ids.insert(it.id).second) {
            watchers.push_back(it);
        }
    }
    return watchers;
}

} // namespace endivelatch

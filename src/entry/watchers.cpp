#include "endivelatch/entry/watchers.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>

namespace endivelatch {

namespace {

/// Returns the highest-ranked routers of the rendezvous hash.
std::vector<member> top_ranked(const std::vector<member>& routers, std::size_t count)
{
    const auto key = stable_hash("watchers");
    const std::span<const member> nodes{routers};
    std::vector<member> chosen;
    for (const auto index :
         rendezvous_top(key, nodes, std::min(count, routers.size()),
                        [](const member& router) { return stable_hash(router.id.str()); })) {
        chosen.push_back(routers[index]);
    }
    return chosen;
}

} // namespace

std::vector<member> choose_watchers(const std::vector<member>& live)
{
    if (live.size() <= max_routers_all_watching) {
        return live;
    }
    std::map<domain_id, std::vector<member>> domains;
    for (const auto& router : live) {
        domains[router.domain].push_back(router);
    }
    std::vector<member> watchers;
    for (const auto& [domain, routers] : domains) {
        const auto count = std::max<std::size_t>(routers.size() / routers_per_watcher, 1);
        const auto chosen = top_ranked(routers, count);
        watchers.insert(watchers.end(), chosen.begin(), chosen.end());
    }
    std::set<router_id> chosen_ids;
    for (const auto& watcher : watchers) {
        chosen_ids.insert(watcher.id);
    }
    for (const auto& router : top_ranked(live, min_watchers)) {
        if (watchers.size() < min_watchers && chosen_ids.insert(router.id).second) {
            watchers.push_back(router);
        }
    }
    return watchers;
}

} // namespace endivelatch

#include "endivelatch/entry/watchers.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <span>
#include <utility>

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

std::string_view to_string(reader_role role)
{
    switch (role) {
    case reader_role::watcher:
        return "watcher";
    case reader_role::lead:
        return "lead";
    case reader_role::relay:
        return "relay";
    case reader_role::standby:
        return "standby";
    case reader_role::follower:
        return "follower";
    }
    return "unknown";
}

reader_plan plan_reading(const std::vector<member>& live, const router_id& self)
{
    if (live.size() <= max_routers_all_watching) {
        return {};
    }
    const auto is_self = [&self](const member& router) { return router.id == self; };
    const auto watchers = choose_watchers(live);
    const auto lead = top_ranked(live, 1).front();
    if (is_self(lead)) {
        return {reader_role::lead, {}, {}};
    }
    if (std::any_of(watchers.begin(), watchers.end(), is_self)) {
        return {reader_role::relay, {lead}, {}};
    }
    std::vector<member> standbys;
    for (const auto& router : top_ranked(live, 2 * watchers.size())) {
        const auto has_same_id = [&](const member& it) { return it.id == router.id; };
        if (std::none_of(watchers.begin(), watchers.end(), has_same_id)) {
            standbys.push_back(router);
        }
    }
    if (std::any_of(standbys.begin(), standbys.end(), is_self)) {
        return {reader_role::standby, watchers, {}};
    }
    return {reader_role::follower, watchers, std::move(standbys)};
}

bool store_probes::is_due(std::size_t routers, time_point now)
{
    if (reaches_store_) {
        return true;
    }
    const auto interval = std::max(
        std::chrono::duration<double>{min_interval},
        std::chrono::duration<double>{static_cast<double>(routers) / follower_probes_per_second});
    if (!next_at_) {
        next_at_ = now + std::chrono::duration_cast<duration>(interval * random_.fraction());
    }
    if (now < *next_at_) {
        return false;
    }
    next_at_ = now + std::chrono::duration_cast<duration>(interval * (random_.fraction() + 0.5));
    return true;
}

void store_probes::record_call(bool has_succeeded)
{
    reaches_store_ = has_succeeded;
}

void store_probes::reset()
{
    next_at_.reset();
    reaches_store_ = false;
}

} // namespace endivelatch

#include "endivelatch/routing/ownership.hpp"

#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

bool is_eligible(const member& router)
{
    return router.status == member_status::alive || router.status == member_status::suspect;
}

template <class Key, class Index>
void erase_index(std::map<Key, std::vector<Index>>& index, const Key& key, Index router)
{
    const auto entry = index.find(key);
    std::erase(entry->second, router);
    if (entry->second.empty()) {
        index.erase(entry);
    }
}

} // namespace

ownership::changes ownership::set_routers(std::span<const member> routers)
{
    changes out;
    std::unordered_set<router_id> live;
    for (const auto& it : routers) {
        if (is_eligible(it)) {
            live.insert(it.id);
        }
    }
    const auto previous = live_;
    for (const auto it : previous) {
        if (!live.contains(routers_[it].id)) {
            remove_router(it, out);
            release_index(it);
        }
    }
    for (const auto& it : routers) {
        const auto added = set_router(it);
        out.insert(out.end(), added.begin(), added.end());
    }
    return out;
}

ownership::changes ownership::set_router(const member& router)
{
    changes out;
    const auto existing = indices_.find(router.id);
    if (existing != indices_.end()) {
        const auto& record = routers_[existing->second];
        const bool same_location = record.domain == router.domain && record.region == router.region;
        if (same_location && is_eligible(router)) {
            return out;
        }
        const auto n = existing->second;
        remove_router(n, out);
        release_index(n);
    }
    if (is_eligible(router)) {
        add_router(allocate_index(router), out);
    }
    return out;
}

ownership::changes ownership::set_targets(std::span<const target_document> targets)
{
    changes out;
    std::unordered_map<target_id, const target_document*> wanted;
    for (const auto& it : targets) {
        wanted.emplace(it.id, &it);
    }
    for (auto it = targets_.begin(); it != targets_.end();) {
        const auto kept = wanted.find(it->first);
        if (kept != wanted.end()) {
            ++it;
            continue;
        }
        assign(it->first, it->second, no_owner, out);
        it = targets_.erase(it);
    }
    targets_by_location_.clear();
    for (const auto& it : targets) {
        auto& record = targets_[it.id];
        const bool same_location =
            record.hash != 0 && record.domain == it.domain && record.region == it.region;
        targets_by_location_[{it.domain, it.region}].push_back(it.id);
        if (same_location) {
            continue;
        }
        record.domain = it.domain;
        record.region = it.region;
        record.hash = stable_hash(it.id.str());
        assign(it.id, record, best_owner(record), out);
    }
    return out;
}

std::optional<router_id> ownership::owner_of(const target_id& target) const
{
    const auto it = targets_.find(target);
    return it == targets_.end() ? std::nullopt : id_of(it->second.owner);
}

std::vector<target_id> ownership::owned_by(const router_id& router) const
{
    const auto it = indices_.find(router);
    if (it == indices_.end()) {
        return {};
    }
    const auto& owned = routers_[it->second].owned;
    return {owned.begin(), owned.end()};
}

std::optional<router_id> ownership::shard_owner(std::string_view name) const
{
    const auto any = [](router_index) { return true; };
    return id_of(shard_ring_.find(stable_hash(name), 1, any).value_or(no_owner));
}

std::vector<router_id> ownership::select_watchers(const domain_id& domain, std::size_t n) const
{
    const auto live = by_domain_.find(domain);
    if (live == by_domain_.end()) {
        return {};
    }
    const auto hash_of = [this](router_index it) { return routers_[it].hash; };
    std::vector<router_id> watchers;
    const auto key = stable_hash("watch/" + domain.str());
    for (const auto it :
         rendezvous_top(key, std::span<const router_index>{live->second}, n, hash_of)) {
        watchers.push_back(routers_[live->second[it]].id);
    }
    return watchers;
}

ownership::router_index ownership::allocate_index(const member& router)
{
    if (free_indices_.empty()) {
        free_indices_.push_back(static_cast<router_index>(routers_.size()));
        routers_.emplace_back();
    }
    const auto n = free_indices_.back();
    free_indices_.pop_back();
    indices_[router.id] = n;
    routers_[n] = {router.id, router.domain, router.region, stable_hash(router.id.str()), {}};
    return n;
}

void ownership::release_index(router_index router)
{
    indices_.erase(routers_[router].id);
    routers_[router] = {};
    free_indices_.push_back(router);
}

void ownership::add_router(router_index router, changes& out)
{
    const auto& record = routers_[router];
    live_.push_back(router);
    by_domain_[record.domain].push_back(router);
    by_region_[record.region].push_back(router);
    shard_ring_.add(record.hash, router);
    for (const auto& [location, ids] : targets_by_location_) {
        const auto* eligible = eligible_routers(location.first, location.second);
        const bool is_affected = eligible == &live_ || eligible == &by_domain_[record.domain] ||
                                 eligible == &by_region_[record.region];
        if (!is_affected) {
            continue;
        }
        for (const auto& it : ids) {
            auto& target = targets_.at(it);
            const bool is_uncontested = eligible->size() == 1 || target.owner == no_owner;
            const bool wins =
                is_uncontested || rendezvous_weight(target.hash, record.hash) >
                                      rendezvous_weight(target.hash, routers_[target.owner].hash);
            if (wins) {
                assign(it, target, router, out);
            }
        }
    }
}

void ownership::remove_router(router_index router, changes& out)
{
    const auto& record = routers_[router];
    std::erase(live_, router);
    erase_index(by_domain_, record.domain, router);
    erase_index(by_region_, record.region, router);
    shard_ring_.remove(record.hash, router);
    const auto owned = record.owned;
    for (const auto& it : owned) {
        auto& target = targets_.at(it);
        assign(it, target, best_owner(target), out);
    }
}

const std::vector<ownership::router_index>*
ownership::eligible_routers(const domain_id& domain, const region_id& region) const
{
    const auto domain_entry = by_domain_.find(domain);
    if (domain_entry != by_domain_.end()) {
        return &domain_entry->second;
    }
    const auto region_entry = by_region_.find(region);
    return region_entry != by_region_.end() ? &region_entry->second : &live_;
}

ownership::router_index ownership::best_owner(const target_record& target) const
{
    const auto* eligible = eligible_routers(target.domain, target.region);
    const auto hash_of = [this](router_index it) { return routers_[it].hash; };
    const auto best =
        rendezvous_first(target.hash, std::span<const router_index>{*eligible}, hash_of);
    return best == no_node ? no_owner : (*eligible)[best];
}

void ownership::assign(const target_id& id, target_record& target, router_index owner, changes& out)
{
    if (target.owner == owner) {
        return;
    }
    out.push_back({id, id_of(target.owner), id_of(owner)});
    if (target.owner != no_owner) {
        routers_[target.owner].owned.erase(id);
    }
    if (owner != no_owner) {
        routers_[owner].owned.insert(id);
    }
    target.owner = owner;
}

std::optional<router_id> ownership::id_of(router_index router) const
{
    if (router == no_owner) {
        return std::nullopt;
    }
    return routers_[router].id;
}

} // namespace endivelatch

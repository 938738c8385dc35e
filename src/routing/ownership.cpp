#include "endivelatch/routing/ownership.hpp"

#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

bool may_own(const member& router)
{
    return router.status == member_status::alive || router.status == member_status::suspect;
}

template <class Key, class Number>
void erase_number(std::map<Key, std::vector<Number>>& index, const Key& key, Number router)
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
        if (may_own(it)) {
            live.insert(it.id);
        }
    }
    const auto former = all_;
    for (const auto it : former) {
        if (!live.contains(routers_[it].id)) {
            remove_router(it, out);
            forget_router(it);
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
    const auto known = numbers_.find(router.id);
    if (known != numbers_.end()) {
        const auto& record = routers_[known->second];
        const bool same_place = record.domain == router.domain && record.region == router.region;
        if (same_place && may_own(router)) {
            return out;
        }
        const auto n = known->second;
        remove_router(n, out);
        forget_router(n);
    }
    if (may_own(router)) {
        add_router(new_number(router), out);
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
    groups_.clear();
    for (const auto& it : targets) {
        auto& record = targets_[it.id];
        const bool same_place =
            record.hash != 0 && record.domain == it.domain && record.region == it.region;
        groups_[{it.domain, it.region}].push_back(it.id);
        if (same_place) {
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
    const auto it = numbers_.find(router);
    if (it == numbers_.end()) {
        return {};
    }
    const auto& owned = routers_[it->second].owned;
    return {owned.begin(), owned.end()};
}

std::optional<router_id> ownership::shard_owner(std::string_view name) const
{
    const auto any = [](number) { return true; };
    return id_of(shards_.find(stable_hash(name), 1, any).value_or(no_owner));
}

std::vector<router_id> ownership::select_watchers(const domain_id& domain, std::size_t n) const
{
    const auto live = by_domain_.find(domain);
    if (live == by_domain_.end()) {
        return {};
    }
    const auto hash_of = [this](number it) { return routers_[it].hash; };
    std::vector<router_id> seats;
    const auto key = stable_hash("watch/" + domain.str());
    for (const auto it : rendezvous_top(key, std::span<const number>{live->second}, n, hash_of)) {
        seats.push_back(routers_[live->second[it]].id);
    }
    return seats;
}

ownership::number ownership::new_number(const member& router)
{
    if (free_.empty()) {
        free_.push_back(static_cast<number>(routers_.size()));
        routers_.emplace_back();
    }
    const auto n = free_.back();
    free_.pop_back();
    numbers_[router.id] = n;
    routers_[n] = {router.id, router.domain, router.region, stable_hash(router.id.str()), {}};
    return n;
}

void ownership::forget_router(number router)
{
    numbers_.erase(routers_[router].id);
    routers_[router] = {};
    free_.push_back(router);
}

void ownership::add_router(number router, changes& out)
{
    const auto& record = routers_[router];
    all_.push_back(router);
    by_domain_[record.domain].push_back(router);
    by_region_[record.region].push_back(router);
    shards_.add(record.hash, router);
    for (const auto& [place, ids] : groups_) {
        const auto* scope = scope_of(place.first, place.second);
        const bool concerned = scope == &all_ || scope == &by_domain_[record.domain] ||
                               scope == &by_region_[record.region];
        if (!concerned) {
            continue;
        }
        for (const auto& it : ids) {
            auto& target = targets_.at(it);
            const bool only = scope->size() == 1 || target.owner == no_owner;
            const bool wins =
                only || rendezvous_weight(target.hash, record.hash) >
                            rendezvous_weight(target.hash, routers_[target.owner].hash);
            if (wins) {
                assign(it, target, router, out);
            }
        }
    }
}

void ownership::remove_router(number router, changes& out)
{
    const auto& record = routers_[router];
    std::erase(all_, router);
    erase_number(by_domain_, record.domain, router);
    erase_number(by_region_, record.region, router);
    shards_.remove(record.hash, router);
    const auto owned = record.owned;
    for (const auto& it : owned) {
        auto& target = targets_.at(it);
        assign(it, target, best_owner(target), out);
    }
}

const std::vector<ownership::number>* ownership::scope_of(const domain_id& domain,
                                                          const region_id& region) const
{
    const auto near = by_domain_.find(domain);
    if (near != by_domain_.end()) {
        return &near->second;
    }
    const auto regional = by_region_.find(region);
    return regional != by_region_.end() ? &regional->second : &all_;
}

ownership::number ownership::best_owner(const target_record& target) const
{
    const auto* scope = scope_of(target.domain, target.region);
    const auto hash_of = [this](number it) { return routers_[it].hash; };
    const auto best = rendezvous_first(target.hash, std::span<const number>{*scope}, hash_of);
    return best == no_node ? no_owner : (*scope)[best];
}

void ownership::assign(const target_id& id, target_record& target, number owner, changes& out)
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

std::optional<router_id> ownership::id_of(number router) const
{
    if (router == no_owner) {
        return std::nullopt;
    }
    return routers_[router].id;
}

} // namespace endivelatch

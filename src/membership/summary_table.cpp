#include "endivelatch/membership/summary_table.hpp"

#include <algorithm>

namespace endivelatch {

void summary_table::publish(const summary_key& key, summary_scope scope, std::string_view value)
{
    auto& own = owners_[self_];
    own.run = run_;
    const auto it = own.records.find(key);
    if (it == own.records.end() && value.empty()) {
        return;
    }
    if (it != own.records.end() && it->second.value == value && it->second.scope == scope) {
        return;
    }
    last_version_ = last_version_.next();
    own.records[key] = {last_version_, scope, std::string{value}, {}};
    queue_of(scope).push({self_, key});
}

merge_result summary_table::merge(const summary_entry& entry, const router_id& from, bool forward)
{
    if (entry.owner == self_) {
        return merge_result::ignored;
    }
    auto& owner = owners_[entry.owner];
    if (entry.owner_run < owner.run) {
        return merge_result::ignored;
    }
    if (entry.owner_run > owner.run) {
        owner.records.clear();
        owner.run = entry.owner_run;
    }
    auto [it, is_new] = owner.records.try_emplace(entry.key);
    if (!is_new && version_check_enabled_ && entry.version <= it->second.version) {
        if (entry.version == it->second.version) {
            const auto limit = entry.scope == summary_scope::domain ? domain_limit_ : fleet_limit_;
            queue_of(entry.scope).count_duplicate({entry.owner, entry.key}, limit);
        }
        return merge_result::ignored;
    }
    const bool is_changed = it->second.value != entry.value;
    it->second = {entry.version, entry.scope, entry.value, from};
    if (forward) {
        queue_of(entry.scope).push({entry.owner, entry.key});
    }
    return is_changed ? merge_result::changed : merge_result::refreshed;
}

void summary_table::refresh(time_point now, duration interval)
{
    auto& own = owners_[self_];
    own.run = run_;
    for (auto& [key, it] : own.records) {
        const auto last = refreshed_.try_emplace(key, now).first;
        if (now - last->second < interval) {
            continue;
        }
        last->second = now;
        last_version_ = last_version_.next();
        it.version = last_version_;
        queue_of(it.scope).push({self_, key});
        return;
    }
}

std::vector<summary_entry> summary_table::entries_of(const router_id& owner) const
{
    std::vector<summary_entry> out;
    const auto found = owners_.find(owner);
    if (found == owners_.end()) {
        return out;
    }
    for (const auto& [key, it] : found->second.records) {
        out.push_back({owner, found->second.run, key, it.version, it.scope, it.value});
    }
    return out;
}

std::optional<std::string_view> summary_table::find(const router_id& owner,
                                                    const summary_key& key) const
{
    const auto found = owners_.find(owner);
    if (found == owners_.end() || found->second.is_hidden) {
        return std::nullopt;
    }
    const auto it = found->second.records.find(key);
    if (it == found->second.records.end() || it->second.value.empty()) {
        return std::nullopt;
    }
    return it->second.value;
}

void summary_table::set_limits(std::uint32_t fleet_limit, std::uint32_t domain_limit)
{
    fleet_limit_ = fleet_limit;
    domain_limit_ = domain_limit;
}

void summary_table::set_hidden(const router_id& owner, bool is_hidden)
{
    const auto found = owners_.find(owner);
    if (found == owners_.end() || found->second.is_hidden == is_hidden) {
        return;
    }
    found->second.is_hidden = is_hidden;
    if (is_hidden) {
        dequeue(owner);
    }
}

void summary_table::forget(const router_id& owner)
{
    dequeue(owner);
    owners_.erase(owner);
}

std::size_t summary_table::size() const
{
    std::size_t n = 0;
    for (const auto& [id, owner] : owners_) {
        n += owner.records.size();
    }
    return n;
}

std::optional<summary_entry> summary_table::find_entry(const entry_id& id) const
{
    const auto found = owners_.find(id.owner);
    if (found == owners_.end() || found->second.is_hidden) {
        return std::nullopt;
    }
    const auto it = found->second.records.find(id.key);
    if (it == found->second.records.end()) {
        return std::nullopt;
    }
    return summary_entry{id.owner,           found->second.run, id.key,
                         it->second.version, it->second.scope,  it->second.value};
}

const router_id& summary_table::sender_of(const entry_id& id) const
{
    return owners_.at(id.owner).records.at(id.key).sender;
}

gossip_queue<summary_table::entry_id>& summary_table::queue_of(summary_scope scope)
{
    return scope == summary_scope::domain ? domain_queue_ : fleet_queue_;
}

void summary_table::dequeue(const router_id& owner)
{
    for (const auto& it : entries_of(owner)) {
        fleet_queue_.remove({owner, it.key});
        domain_queue_.remove({owner, it.key});
    }
}

} // namespace endivelatch

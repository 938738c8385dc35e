#include "endivelatch/traffic/target_table.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

const std::vector<target_state*>&
targets_of_pool(const std::map<pool_id, std::vector<target_state*>>& all, const pool_id& pool)
{
    static const std::vector<target_state*> none;
    const auto it = all.find(pool);
    return it == all.end() ? none : it->second;
}

} // namespace

void target_table::replace(const std::vector<registered_target>& all, time_point now)
{
    std::set<target_id> present;
    for (const auto& it : all) {
        present.insert(it.id);
        const auto [known, is_new] = targets_.try_emplace(it.id, it, now);
        if (!is_new) {
            known->second.update(it, now);
        }
        known->second.set_evacuated(evacuated_domains_.contains(it.domain), now);
    }
    std::erase_if(targets_, [&](const auto& it) { return !present.contains(it.first); });
    update_indexes();
    is_known_ = true;
}

void target_table::set_evacuated(const std::set<domain_id>& domains, time_point now)
{
    evacuated_domains_ = domains;
    for (auto& [id, state] : targets_) {
        state.set_evacuated(domains.contains(state.registration().domain), now);
    }
    update_indexes();
}

std::size_t target_table::evacuated_count() const
{
    return static_cast<std::size_t>(std::count_if(
        targets_.begin(), targets_.end(), [](const auto& it) { return it.second.is_evacuated(); }));
}

bool target_table::has_evacuated(const pool_id& pool) const
{
    const auto& all = registered(pool);
    return std::any_of(all.begin(), all.end(), [](const auto* it) { return it->is_evacuated(); });
}

void target_table::update_indexes()
{
    by_key_.clear();
    ready_.clear();
    registered_.clear();
    for (auto& [id, state] : targets_) {
        by_key_.emplace(state.key(), &state);
        registered_[state.registration().pool].push_back(&state);
        if (!state.registration().is_leaving && !state.is_evacuated()) {
            ready_[state.registration().pool].push_back(&state);
        }
    }
}

void target_table::update_limit_shares(const router_fleet& fleet, time_point now)
{
    for (auto& [id, state] : targets_) {
        state.update_limit_share(fleet, now);
    }
}

target_state* target_table::find(const target_id& id)
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

target_state* target_table::find(target_key key)
{
    const auto it = by_key_.find(key);
    return it == by_key_.end() ? nullptr : it->second;
}

const std::vector<target_state*>& target_table::ready(const pool_id& pool) const
{
    return targets_of_pool(ready_, pool);
}

const std::vector<target_state*>& target_table::registered(const pool_id& pool) const
{
    return targets_of_pool(registered_, pool);
}

} // namespace endivelatch

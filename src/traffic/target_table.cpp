#include "endivelatch/traffic/target_table.hpp"

#include <set>

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
    }
    std::erase_if(targets_, [&](const auto& it) { return !present.contains(it.first); });
    by_key_.clear();
    ready_.clear();
    registered_.clear();
    for (auto& [id, state] : targets_) {
        by_key_.emplace(state.key(), &state);
        registered_[state.registration().pool].push_back(&state);
        if (!state.registration().is_leaving) {
            ready_[state.registration().pool].push_back(&state);
        }
    }
    is_known_ = true;
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

#include "endivelatch/traffic/target_table.hpp"

#include <set>

namespace endivelatch {

void target_table::replace(const std::vector<registered_target>& all)
{
    std::set<target_id> present;
    for (const auto& it : all) {
        present.insert(it.id);
        const auto [known, is_new] = targets_.try_emplace(it.id, it);
        if (!is_new) {
            known->second.update(it);
        }
    }
    std::erase_if(targets_, [&](const auto& it) { return !present.contains(it.first); });
    ready_.clear();
    for (auto& [id, state] : targets_) {
        if (!state.facts().is_leaving) {
            ready_[state.facts().pool].push_back(&state);
        }
    }
    is_known_ = true;
}

target_state* target_table::find(const target_id& id)
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

const std::vector<target_state*>& target_table::ready(const pool_id& pool) const
{
    static const std::vector<target_state*> none;
    const auto it = ready_.find(pool);
    return it == ready_.end() ? none : it->second;
}

} // namespace endivelatch

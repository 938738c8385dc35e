#include "endivelatch/traffic/target_table.hpp"

#include <algorithm>
#include <optional>
#include <utility>

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

std::size_t target_table::replace(const std::vector<registered_target>& all, time_point now,
                                  std::optional<time_point> restored_at)
{
    std::set<target_id> present;
    std::size_t ignored = 0;
    for (const auto& it : all) {
        if (!restored_at || !is_former_state(it, *restored_at)) {
            present.insert(it.id);
            add(it, now);
            continue;
        }
        ++ignored;
        if (targets_.contains(it.id)) {
            present.insert(it.id);
        }
    }
    remove_except(present, now);
    update_indexes();
    is_known_ = true;
    return ignored;
}

/// Returns whether the registration is a state that had been replaced or removed when the platform
/// lost changes.
bool target_table::is_former_state(const registered_target& registration,
                                   time_point restored_at) const
{
    if (const auto known = targets_.find(registration.id); known != targets_.end()) {
        const auto& last = known->second.registration();
        const bool becomes_ready =
            last.started == registration.started && last.is_leaving && !registration.is_leaving;
        return becomes_ready || std::pair{registration.started, registration.sequence} <
                                    std::pair{last.started, last.sequence};
    }
    const auto removed = removed_.find(registration.id);
    return removed != removed_.end() && removed->second.at < restored_at &&
           registration.started <= removed->second.started;
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

void target_table::add(const registered_target& registration, time_point now)
{
    const auto [known, is_new] = targets_.try_emplace(registration.id, registration, now);
    auto& target = known->second;
    if (!is_new) {
        target.update(registration, now);
    }
    else if (is_known_) {
        const auto removed = removed_.find(registration.id);
        const bool has_run_before =
            removed != removed_.end() && removed->second.started == registration.started;
        if (!has_run_before) {
            target.record_start(now);
        }
    }
    configure_cold_start(target, now);
    target.set_evacuated(evacuated_domains_.contains(registration.domain), now);
}

void target_table::remove_except(const std::set<target_id>& present, time_point now)
{
    for (auto it = targets_.begin(); it != targets_.end();) {
        if (present.contains(it->first)) {
            ++it;
            continue;
        }
        removed_[it->first] = {it->second.registration().started, now};
        it = targets_.erase(it);
    }
    std::erase_if(removed_, [&](const auto& it) {
        return targets_.contains(it.first) || now - it.second.at > removed_lifetime;
    });
    if (removed_.size() > max_removed) {
        removed_.clear();
    }
}

void target_table::configure_cold_start(target_state& target, time_point now) const
{
    const auto rule = cold_rules_.find(target.registration().pool);
    target.set_cold_senders(cold_senders_, now);
    target.set_cold_rule(rule == cold_rules_.end() ? std::nullopt : std::optional{rule->second},
                         now);
}

void target_table::set_cold_rules(const std::map<pool_id, cold_rule>& rules, time_point now)
{
    cold_rules_ = rules;
    for (auto& [id, state] : targets_) {
        configure_cold_start(state, now);
    }
}

void target_table::set_cold_senders(const cold_sender_view& senders, time_point now)
{
    cold_senders_ = std::make_shared<const cold_sender_view>(senders);
    for (auto& [id, state] : targets_) {
        state.set_cold_senders(cold_senders_, now);
    }
}

std::vector<const target_state*> target_table::cold(time_point now) const
{
    std::vector<const target_state*> all;
    for (const auto& [id, state] : targets_) {
        if (state.cold().is_cold(now)) {
            all.push_back(&state);
        }
    }
    return all;
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

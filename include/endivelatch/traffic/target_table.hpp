#pragma once

#include "endivelatch/traffic/target_state.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// The registered targets, indexed by id, load report key and pool.
class target_table {
public:
    /// Replaces the registrations. The state of targets that remain registered is kept.
    void replace(const std::vector<registered_target>& all, time_point now);

    /// Sets the evacuated failure domains, also for targets that register later.
    void set_evacuated(const std::set<domain_id>& domains, time_point now);

    /// Returns the number of targets in evacuated failure domains, including leaving ones.
    std::size_t evacuated_count() const;

    /// Returns whether a target of the pool is in an evacuated failure domain.
    bool has_evacuated(const pool_id& pool) const;

    /// Returns the target with the given id, or null.
    target_state* find(const target_id& id);

    /// Returns the target with the given load report key, or null.
    target_state* find(target_key key);

    /// Updates this router's shares in the limits of targets.
    void update_limit_shares(const router_fleet& fleet, time_point now);

    /// Returns the targets of the pool that accept new requests: neither leaving nor evacuated.
    const std::vector<target_state*>& ready(const pool_id& pool) const;

    /// Returns all targets of the pool, including leaving ones.
    const std::vector<target_state*>& registered(const pool_id& pool) const;

    /// Returns the number of targets, including leaving ones.
    std::size_t size() const { return targets_.size(); }

    /// Returns whether the registrations have been loaded at least once.
    bool is_known() const { return is_known_; }

private:
    void update_indexes();

    std::map<target_id, target_state> targets_;
    std::unordered_map<target_key, target_state*> by_key_;
    std::map<pool_id, std::vector<target_state*>> ready_;
    std::map<pool_id, std::vector<target_state*>> registered_;
    std::set<domain_id> evacuated_domains_;
    bool is_known_ = false;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/traffic/target_state.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// All targets that this router knows, by pool.
class target_table {
public:
    /// Replaces the registrations; what was learned about targets that stay is kept.
    void replace(const std::vector<registered_target>& all, time_point now);

    /// Returns the target, or null.
    target_state* find(const target_id& id);

    /// Returns the target with the key of its load reports, or null.
    target_state* find(target_key key);

    /// Returns the targets of the pool that take new requests.
    const std::vector<target_state*>& ready(const pool_id& pool) const;

    /// Returns all targets of the pool, leaving ones included.
    const std::vector<target_state*>& registered(const pool_id& pool) const;

    /// Returns the number of targets, leaving ones included.
    std::size_t size() const { return targets_.size(); }

    /// Returns whether registrations have been read at least once.
    bool is_known() const { return is_known_; }

private:
    std::map<target_id, target_state> targets_;
    std::unordered_map<target_key, target_state*> by_key_;
    std::map<pool_id, std::vector<target_state*>> ready_;
    std::map<pool_id, std::vector<target_state*>> registered_;
    bool is_known_ = false;
};

} // namespace endivelatch

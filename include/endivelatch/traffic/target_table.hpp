#pragma once

#include "endivelatch/traffic/target_state.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// The registered targets, indexed by id, load report key and pool.
class target_table {
public:
    /// Replaces the registrations. The state of targets that remain registered is kept. If the
    /// platform lost changes at `restored_at`, registrations that are former states are ignored: a
    /// target that had left does not come back by one, nor does one that is leaving become ready.
    /// Returns the number of ignored ones.
    std::size_t replace(const std::vector<registered_target>& all, time_point now,
                        std::optional<time_point> restored_at = std::nullopt);

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

    /// Sets how many requests cold targets get, by pool. Targets of other pools are never cold.
    void set_cold_rules(const std::map<pool_id, cold_rule>& rules, time_point now);

    /// Sets the routers that may send to cold targets.
    void set_cold_senders(const cold_sender_view& senders, time_point now);

    /// Returns the targets that count as cold.
    std::vector<const target_state*> cold(time_point now) const;

    /// Returns the targets of the pool that accept new requests: neither leaving nor evacuated.
    const std::vector<target_state*>& ready(const pool_id& pool) const;

    /// Returns all targets of the pool, including leaving ones.
    const std::vector<target_state*>& registered(const pool_id& pool) const;

    /// Returns the number of targets, including leaving ones.
    std::size_t size() const { return targets_.size(); }

    /// Returns whether the registrations have been loaded at least once.
    bool is_known() const { return is_known_; }

    /// Time for which a target is remembered whose registration was removed. Registrations that
    /// expire while the store is unavailable come back later.
    static constexpr duration removed_lifetime{60'000'000};
    /// Maximum number of removed targets that are remembered.
    static constexpr std::size_t max_removed = 4'096;

private:
    /// A target whose registration was removed.
    struct removed_target {
        incarnation started;
        time_point at{};
    };

    bool is_former_state(const registered_target& registration, time_point restored_at) const;
    void add(const registered_target& registration, time_point now);
    void remove_except(const std::set<target_id>& present, time_point now);
    void configure_cold_start(target_state& target, time_point now) const;
    void update_indexes();

    std::map<target_id, target_state> targets_;
    std::map<target_id, removed_target> removed_;
    std::map<pool_id, cold_rule> cold_rules_;
    std::shared_ptr<const cold_sender_view> cold_senders_;
    std::unordered_map<target_key, target_state*> by_key_;
    std::map<pool_id, std::vector<target_state*>> ready_;
    std::map<pool_id, std::vector<target_state*>> registered_;
    std::set<domain_id> evacuated_domains_;
    bool is_known_ = false;
};

} // namespace endivelatch

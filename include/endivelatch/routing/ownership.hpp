#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/routing/hash_ring.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace endivelatch {

/// A change of a target's owner in the view of this router.
struct ownership_change {
    target_id target;
    std::optional<router_id> previous_owner; ///< Empty when it had no owner.
    std::optional<router_id> owner;          ///< Empty when it has none or was removed.

    friend bool operator==(const ownership_change&, const ownership_change&) = default;
};

/// Assigns each target to one live router by rendezvous hashing.
///
/// The owner is a live router of the target's failure domain; if there is none, of its region; if
/// there is none, any. The result depends only on the sets of live routers and targets, so that
/// routers with the same view agree. A change of one router affects only the targets that it gains
/// or loses.
class ownership {
public:
    using changes = std::vector<ownership_change>;

    /// Replaces the set of routers; only those that are alive or suspect count as live and may own
    /// targets.
    changes set_routers(std::span<const member> routers);

    /// Adds or updates one router.
    changes set_router(const member& router);

    /// Replaces the set of targets.
    changes set_targets(std::span<const target_document> targets);

    /// Returns the owner of a target, or nothing if the target is unknown or no router is live.
    std::optional<router_id> owner_of(const target_id& target) const;

    /// Returns the targets that a router owns, sorted by id.
    std::vector<target_id> owned_by(const router_id& router) const;

    /// Returns the owner of a named shard, chosen from all live routers by consistent hashing.
    std::optional<router_id> shard_owner(std::string_view name) const;

    /// Returns up to `n` live routers of a failure domain, which watch the platform.
    std::vector<router_id> select_watchers(const domain_id& domain, std::size_t n) const;

    /// Returns the number of live routers.
    std::size_t live_router_count() const { return live_.size(); }

private:
    using router_index = hash_ring::member_index;
    static constexpr router_index no_owner = ~router_index{0};

    struct router_record {
        router_id id;
        domain_id domain;
        region_id region;
        std::uint64_t hash = 0;
        std::set<target_id> owned;
    };
    struct target_record {
        domain_id domain;
        region_id region;
        std::uint64_t hash = 0;
        router_index owner = no_owner;
    };
    struct target_group {
        region_id region;
        std::vector<target_id> targets;
    };

    router_index allocate_index(const member& router);
    void release_index(router_index router);
    void add_router(router_index router, changes& out);
    void remove_router(router_index router, changes& out);
    const std::vector<router_index>* eligible_routers(const domain_id& domain,
                                                      const region_id& region) const;
    router_index best_owner(const target_record& target) const;
    void assign(const target_id& id, target_record& target, router_index owner, changes& out);
    std::optional<router_id> id_of(router_index router) const;

    std::vector<router_record> routers_; ///< By index; indices of removed routers are reused.
    std::vector<router_index> free_indices_;
    std::unordered_map<router_id, router_index> indices_;
    std::vector<router_index> live_;                           ///< Live routers.
    std::map<domain_id, std::vector<router_index>> by_domain_; ///< Live routers; no empty entries.
    std::map<region_id, std::vector<router_index>> by_region_; ///< Live routers; no empty entries.
    hash_ring shard_ring_;                                     ///< Live routers.
    std::unordered_map<target_id, target_record> targets_;
    /// By failure domain and region.
    std::map<std::pair<domain_id, region_id>, std::vector<target_id>> targets_by_location_;
};

} // namespace endivelatch

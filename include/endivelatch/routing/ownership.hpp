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

/// A target whose owner changed in this router's view.
struct ownership_change {
    target_id target;
    std::optional<router_id> previous_owner; ///< Empty when it had no owner.
    std::optional<router_id> owner;          ///< Empty when it has no owner or was removed.

    friend bool operator==(const ownership_change&, const ownership_change&) = default;
};

/// Assigns each target to one live router by rendezvous hashing.
///
/// A target belongs to a live router of its own failure domain; where there is none, to one of
/// its region; where there is none, to any. The result depends only on the set of live routers and
/// targets, so that routers with the same view agree. A change of one router touches only the
/// targets that it gains or loses.
class ownership {
public:
    using changes = std::vector<ownership_change>;

    /// Replaces the view of all routers; those that are not alive or suspect own nothing.
    changes set_routers(std::span<const member> routers);

    /// Updates one router of the view.
    changes set_router(const member& router);

    /// Replaces all targets.
    changes set_targets(std::span<const target_document> targets);

    /// Returns the owner of a target, or nothing when it is unknown or no router is live.
    std::optional<router_id> owner_of(const target_id& target) const;

    /// Returns the targets that a router owns, in order.
    std::vector<target_id> owned_by(const router_id& router) const;

    /// Returns the owner of a named shard, over all live routers.
    std::optional<router_id> shard_owner(std::string_view name) const;

    /// Returns the up to `n` live routers of a failure domain that watch the platform.
    std::vector<router_id> select_watchers(const domain_id& domain, std::size_t n) const;

    /// Returns the number of live routers.
    std::size_t live_routers() const { return all_.size(); }

private:
    using number = hash_ring::member_number;
    static constexpr number no_owner = ~number{0};

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
        number owner = no_owner;
    };
    struct target_group {
        region_id region;
        std::vector<target_id> targets;
    };

    number new_number(const member& router);
    void forget_router(number router);
    void add_router(number router, changes& out);
    void remove_router(number router, changes& out);
    const std::vector<number>* scope_of(const domain_id& domain, const region_id& region) const;
    number best_owner(const target_record& target) const;
    void assign(const target_id& id, target_record& target, number owner, changes& out);
    std::optional<router_id> id_of(number router) const;

    std::vector<router_record> routers_; ///< Live routers by number; numbers are reused.
    std::vector<number> free_;
    std::unordered_map<router_id, number> numbers_;
    std::vector<number> all_;                            ///< Live routers.
    std::map<domain_id, std::vector<number>> by_domain_; ///< Live routers; no empty entries.
    std::map<region_id, std::vector<number>> by_region_; ///< Live routers; no empty entries.
    hash_ring shards_;                                   ///< Live routers, for shards.
    std::unordered_map<target_id, target_record> targets_;
    std::map<std::pair<domain_id, region_id>, std::vector<target_id>> groups_; ///< By place.
};

} // namespace endivelatch

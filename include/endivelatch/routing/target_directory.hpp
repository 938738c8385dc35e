#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/configuration/documents.hpp"
#include "endivelatch/routing/eviction_set.hpp"
#include "endivelatch/routing/hash_ring.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endivelatch {

/// Whether a target may be given work.
enum class target_status {
    down,        ///< Not known to answer.
    serving,     ///< Takes all work.
    backing_off, ///< Went up and down too often; takes no work for a while.
    leaving,     ///< Stops on plan; takes no new work.
};

/// How targets come and go.
struct directory_settings {
    duration flap_window = std::chrono::minutes{5};    ///< Time over which flaps are counted.
    std::uint32_t flaps_allowed = 2;                   ///< Losses in the window without penalty.
    duration hold_back = std::chrono::seconds{30};     ///< First back-off; doubles each time.
    duration max_hold_back = std::chrono::minutes{10}; ///< Longest back-off.
};

/// One target as a router knows it.
struct target_state {
    target_id id;
    pool_id pool;
    std::uint64_t hash = 0;
    std::uint32_t max_in_flight = 0; ///< Hard limit of the target; zero when it has none.
    bool draining = false;
    bool up = false;
    target_status status = target_status::down;
    incarnation run;
    incarnation handed_over;     ///< Latest run whose warm prefixes were moved; zero for none.
    time_point status_until;     ///< End of the back-off.
    std::uint32_t in_flight = 0; ///< Last known load, in requests.
    time_point load_time;        ///< When the load was reported.
    std::uint64_t cache_gaps = 0;
    eviction_set evicted;
    std::deque<time_point> losses; ///< Times within the flap window when it went down.

    /// Returns whether new work may be sent to it.
    bool takes_work() const { return status == target_status::serving; }
};

/// The targets of all pools, what is known of each, and the totals of each pool.
///
/// Every update costs the same whatever the number of targets. Calls that name an unknown target
/// or an earlier run are ignored.
class target_directory {
public:
    explicit target_directory(directory_settings settings = {});

    /// Adds a target or takes over its changed document.
    void set_target(const target_document& document);

    /// Removes a target.
    void remove_target(const target_id& target);

    /// Records that a target answers. A new run starts with an empty cache and without work.
    void target_up(const target_id& target, incarnation run, time_point now);

    /// Records that a target does not answer.
    void target_down(const target_id& target, time_point now);

    /// Records a target's load in requests.
    void load(const target_id& target, std::uint32_t in_flight, time_point now);

    /// Records that a target dropped a prefix from its cache.
    void cache_evicted(const target_id& target, incarnation run, std::uint64_t prefix_hash);

    /// Records that a prefix is in a target's cache again; the owner calls it when it dispatches.
    void cache_filled(const target_id& target, incarnation run, std::uint64_t prefix_hash);

    /// Records that cache events were lost. Evictions known before stay known, since `cache_filled`
    /// ends each of them; those that were lost leave a prefix believed warm until its next use.
    void cache_gap(const target_id& target);

    /// Forgets a target's evictions; for a router that does not own the target any more.
    void forget_evictions(const target_id& target);

    /// Records that a run of a target moved its warm prefixes to their chats' first places by hash.
    void cache_transferred(const target_id& target, incarnation run);

    /// Ends the back-offs that are over.
    void expire(time_point now);

    /// Returns when `expire` has something to do next.
    std::optional<time_point> next_expiry() const;

    /// Returns what is known of a target, or null; valid until the next change.
    const target_state* find(const target_id& target) const;

    /// Returns the number of a pool's targets that take work.
    std::uint32_t serving_targets(const pool_id& pool) const;

    /// Returns the requests in flight at the targets of a pool that take work.
    std::uint64_t total_load(const pool_id& pool) const;

    /// Returns the mean load of the targets of a pool that take work; zero when there are none.
    double mean_load(const pool_id& pool) const;

    /// Returns whether the target runs this incarnation, takes work, and is not known to have
    /// evicted the prefix.
    bool may_be_warm(const target_id& target, incarnation run, std::uint64_t prefix_hash) const;

    /// Returns whether the prefixes of a run were moved to their chats' first places by hash.
    bool hands_over(const target_id& target, incarnation run) const;

    /// Returns the target at or after the key on the ring of its pool for which `accept` is true.
    template <class Accept>
    const target_state* lookup(const pool_id& pool, std::uint64_t key, std::size_t max_points,
                               Accept accept) const
    {
        const auto record = pools_.find(pool);
        if (record == pools_.end()) {
            return nullptr;
        }
        const auto accept_number = [&](number it) { return accept(targets_[it]); };
        const auto found = record->second.ring.find(key, max_points, accept_number);
        return found ? &targets_[*found] : nullptr;
    }

private:
    using number = hash_ring::member_number;

    struct pool_record {
        hash_ring ring; ///< Targets that take work.
        std::uint64_t total = 0;
    };

    target_state* find_state(const target_id& target);
    number add_state(const target_document& document);
    void set_status(number target, target_status status, time_point until);
    void update_status(number target, time_point now);
    time_point back_off_end(target_state& target, time_point now) const;

    directory_settings settings_;
    std::vector<target_state> targets_; ///< By number; numbers of removed targets are reused.
    std::vector<number> free_;
    std::unordered_map<target_id, number> numbers_;
    std::unordered_map<pool_id, pool_record> pools_;
    std::set<std::pair<time_point, number>> expiries_;
};

} // namespace endivelatch

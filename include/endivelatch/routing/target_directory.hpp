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

/// Whether a target accepts requests.
enum class target_status {
    down,        ///< Not known to respond.
    serving,     ///< Accepts requests.
    backing_off, ///< Flapped too often; gets no requests until the back-off ends.
    leaving,     ///< Planned stop; gets no new requests.
};

/// Flap detection of targets.
struct directory_settings {
    duration flap_window = std::chrono::minutes{5};       ///< Window in which flaps are counted.
    std::uint32_t flaps_allowed = 2;                      ///< Flaps in the window without back-off.
    duration initial_back_off = std::chrono::seconds{30}; ///< Doubles with each further flap.
    duration max_back_off = std::chrono::minutes{10};     ///< Upper bound of the back-off.
};

/// The state of a target as known to this router.
struct target_state {
    target_id id;
    pool_id pool;
    std::uint64_t hash = 0;
    std::uint32_t max_in_flight = 0; ///< Hard limit in requests; zero for none.
    bool draining = false;
    bool up = false;
    target_status status = target_status::down;
    incarnation run;
    incarnation transferred_run; ///< Latest run whose cache was transferred; zero for none.
    time_point status_until;     ///< End of the back-off, if any.
    std::uint32_t in_flight = 0; ///< Last reported load, in requests.
    time_point load_time;        ///< When the load was reported.
    std::uint64_t cache_gaps = 0;
    eviction_set evicted;
    std::deque<time_point> down_times; ///< When it went down, within the flap window.

    /// Returns whether new requests may be sent to it.
    bool takes_work() const { return status == target_status::serving; }
};

/// The state of the targets of all pools, with totals by pool.
///
/// The time of an update does not depend on the number of targets. Calls for an unknown target or
/// an earlier run are ignored.
class target_directory {
public:
    explicit target_directory(directory_settings settings = {});

    /// Adds a target or applies its changed document.
    void set_target(const target_document& document);

    /// Removes a target.
    void remove_target(const target_id& target);

    /// Records that a target responds. A new run starts with an empty cache and no requests.
    void target_up(const target_id& target, incarnation run, time_point now);

    /// Records that a target does not respond.
    void target_down(const target_id& target, time_point now);

    /// Records the load of a target, in requests.
    void set_load(const target_id& target, std::uint32_t in_flight, time_point now);

    /// Records that a target evicted a prefix from its cache.
    void cache_evicted(const target_id& target, incarnation run, std::uint64_t prefix_hash);

    /// Records that a prefix is cached again; called by the owner when it dispatches a request.
    void cache_filled(const target_id& target, incarnation run, std::uint64_t prefix_hash);

    /// Records that cache events were lost. Known evictions stay valid, since `cache_filled`
    /// removes each of them; a prefix whose eviction was lost counts as warm until its next use.
    void cache_gap(const target_id& target);

    /// Removes all evictions of a target; for a router that no longer owns it.
    void forget_evictions(const target_id& target);

    /// Records that the cache of a run was transferred to the primary targets of its chats.
    void cache_transferred(const target_id& target, incarnation run);

    /// Ends all back-offs that have expired.
    void expire(time_point now);

    /// Returns when the next back-off expires, or nothing.
    std::optional<time_point> next_expiry() const;

    /// Returns the state of a target, or null. The pointer is valid until the next change.
    const target_state* find(const target_id& target) const;

    /// Returns the number of serving targets of a pool.
    std::uint32_t serving_targets(const pool_id& pool) const;

    /// Returns the number of requests in flight at the serving targets of a pool.
    std::uint64_t total_load(const pool_id& pool) const;

    /// Returns the mean load of the serving targets of a pool; zero if there are none.
    double mean_load(const pool_id& pool) const;

    /// Returns whether the target is serving with this incarnation and is not known to have evicted
    /// the prefix.
    bool may_be_warm(const target_id& target, incarnation run, std::uint64_t prefix_hash) const;

    /// Returns whether the cache of a run was transferred to the primary targets of its chats.
    bool has_transferred_cache(const target_id& target, incarnation run) const;

    /// Returns the first target at or after the key on the ring of the pool for which `accept` is
    /// true, or null if there is none within `max_points` points.
    template <class Accept>
    const target_state* lookup(const pool_id& pool, std::uint64_t key, std::size_t max_points,
                               Accept accept) const
    {
        const auto record = pools_.find(pool);
        if (record == pools_.end()) {
            return nullptr;
        }
        const auto accept_index = [&](target_index it) { return accept(targets_[it]); };
        const auto found = record->second.ring.find(key, max_points, accept_index);
        return found ? &targets_[*found] : nullptr;
    }

private:
    using target_index = hash_ring::member_index;

    struct pool_record {
        hash_ring ring; ///< Serving targets.
        std::uint64_t total_in_flight = 0;
    };

    target_state* find_state(const target_id& target);
    target_index add_state(const target_document& document);
    void set_status(target_index target, target_status status, time_point until);
    void update_status(target_index target, time_point now);
    time_point back_off_end(target_state& target, time_point now) const;

    directory_settings settings_;
    std::vector<target_state> targets_; ///< By index; indices of removed targets are reused.
    std::vector<target_index> free_indices_;
    std::unordered_map<target_id, target_index> indices_;
    std::unordered_map<pool_id, pool_record> pools_;
    std::set<std::pair<time_point, target_index>> back_off_ends_;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Selection of the routers that watch the store. Each change costs the store one call per watcher,
/// so in a large fleet only a few routers watch it and the others follow one of them.
namespace endivelatch {

/// In fleets up to this size all routers watch the store.
inline constexpr std::size_t max_routers_all_watching = 8;
/// Minimum number of watchers of a larger fleet. If the store refuses a third of the routers, at
/// least one of four watchers nearly always remains.
inline constexpr std::size_t min_watchers = 4;
/// Routers per watcher in a large fleet. Each change costs the store a call per watcher, and a
/// watcher a small answer per follower.
inline constexpr std::size_t routers_per_watcher = 32;

/// Selects the watchers among the live routers: the highest-ranked ones of each failure domain by
/// rendezvous hashing, so that followers need not cross domains. All routers with the same view of
/// the fleet select the same watchers.
std::vector<member> choose_watchers(const std::vector<member>& live);

/// Calls per second to the store by all followers together while their watchers do not reach it.
/// Finds out within a fraction of a second whether only the watchers have lost the store.
inline constexpr double follower_probes_per_second = 4;

/// Decides when a follower calls the store itself because no watcher reaches it. During an outage
/// each call is billed and fails, so a follower calls rarely; the followers of a large fleet
/// together call often enough to notice that the store can be reached.
class store_probes {
public:
    explicit store_probes(std::uint64_t seed) : random_{seed} {}

    /// Returns whether to call the store now, in a fleet of this many live routers.
    bool is_due(std::size_t routers, time_point now);

    /// Records the outcome of a call. A follower that reaches the store calls it like a watcher.
    void record_call(bool has_succeeded);

    /// Records that a watcher reaches the store again.
    void reset();

    /// Shortest mean interval between the calls of a follower.
    static constexpr duration min_interval{1'000'000};

private:
    random_source random_;
    std::optional<time_point> next_at_;
    bool reaches_store_ = false;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Selection of the routers that watch the store. Each change costs the store one call per watcher,
/// so in a large fleet only a few routers watch it and the others follow one of them.
///
/// A copy that did not change is worth something only with the time of the store's answer that
/// confirms it: a connection over which nothing comes may be silent because nothing has changed, or
/// because it is cut. Routers pass on this time with their copies; one that was not confirmed in
/// time reads the store itself.
namespace endivelatch {

/// In fleets up to this size all routers watch the store.
inline constexpr std::size_t max_routers_all_watching = 8;
/// Minimum number of watchers of a larger fleet: the lead and its relays. If the store refuses a
/// third of the routers, at least one of four watchers nearly always remains.
inline constexpr std::size_t min_watchers = 4;
/// Routers per watcher in a large fleet. Each watcher answers so many followers.
inline constexpr std::size_t routers_per_watcher = 32;

/// Selects the watchers among the live routers: the highest-ranked ones of each failure domain by
/// rendezvous hashing, so that followers need not cross domains. All routers with the same view of
/// the fleet select the same watchers.
std::vector<member> choose_watchers(const std::vector<member>& live);

/// Task of a router in reading the store.
enum class reader_role {
    watcher,  ///< Watches the store, as all routers of a small fleet do.
    lead,     ///< Watches the store with waits that are short enough to confirm all copies.
    relay,    ///< Watches the store with long waits; the lead confirms its copy, or else the store.
    standby,  ///< Follows a relay; reads the store if the relays are silent.
    follower, ///< Follows a relay; asks standbys if that is silent.
};

/// Returns the name used in logs, such as `relay`.
std::string_view to_string(reader_role role);

/// A router's task and the routers that it follows.
struct reader_plan {
    reader_role role = reader_role::watcher;
    std::vector<member> sources;   ///< Routers to follow; none for a watcher or the lead.
    std::vector<member> fallbacks; ///< Routers that a follower asks if its source is silent.
};

/// Returns the task of a router in a fleet that includes it. There are as many standbys as
/// watchers.
reader_plan plan_reading(const std::vector<member>& live, const router_id& self);

/// In fleets up to this size each follower whose sources are silent reads the store itself. In a
/// larger one this would be a burst of calls at each outage, so followers rely on the standbys.
inline constexpr std::size_t max_routers_all_reading = 32;

/// Ages of a copy's last confirmation by the store.
struct confirmation_limits {
    duration interval{}; ///< Between the confirmations that the lead gets in calm.
    duration relay{};    ///< Age from which relays ask the store.
    duration standby{};  ///< Age from which standbys read the store.
    duration follower{}; ///< Age from which followers ask other sources, without waiting there.
    duration last{};     ///< Age from which followers act without any source.
};

/// For configuration and targets, which all routers must know 2 s after a change: each step leaves
/// the one before it the time for a call, and the last one the time to read the store.
inline constexpr confirmation_limits default_confirmation_limits{
    std::chrono::milliseconds{1'000}, std::chrono::milliseconds{1'300},
    std::chrono::milliseconds{1'400}, std::chrono::milliseconds{1'500},
    std::chrono::milliseconds{1'700}};
/// For evacuations, which must be known after 5 s and are rare.
inline constexpr confirmation_limits evacuation_confirmation_limits{
    std::chrono::milliseconds{2'000}, std::chrono::milliseconds{2'600},
    std::chrono::milliseconds{2'800}, std::chrono::milliseconds{3'000},
    std::chrono::milliseconds{3'400}};

/// Calls per second to the store by all followers together while their sources do not reach it.
/// Finds out within a fraction of a second whether only the sources have lost the store.
inline constexpr double follower_probes_per_second = 4;

/// Decides when a follower calls the store itself because no source reaches it. During an outage
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

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstddef>
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

} // namespace endivelatch

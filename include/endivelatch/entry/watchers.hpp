#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstddef>
#include <vector>

/// Which routers watch the store themselves. Each change costs a call for each watcher, so in a
/// large fleet few watch and the others follow them.
namespace endivelatch {

/// Fleets up to this size all watch.
inline constexpr std::size_t most_watching_all = 8;
/// Fewest watchers of a larger fleet: one is nearly always left when the store refuses a third of
/// the routers.
inline constexpr std::size_t min_watchers = 4;
/// Routers for each watcher in a large fleet, so that a watcher answers some tens of calls a
/// second.
inline constexpr std::size_t routers_per_watcher = 16;

/// Returns the watchers among the live routers: the first of each failure domain in the rendezvous
/// order, so that followers need not cross domains. All routers with the same view get the same.
std::vector<member> choose_watchers(const std::vector<member>& live);

} // namespace endivelatch

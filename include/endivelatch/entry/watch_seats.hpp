#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstddef>
#include <vector>

/// Which routers watch the store themselves. Each change costs a call for each watcher, so in a
/// large fleet few watch and the others follow them.
namespace endivelatch {

/// Fewest watchers; smaller fleets all watch.
inline constexpr std::size_t fewest_watch_seats = 8;
/// Routers for each watcher in a large fleet, so that a watcher answers some tens of calls a
/// second.
inline constexpr std::size_t routers_per_seat = 16;

/// Returns the watchers among the live routers: the first in the rendezvous order, the same for
/// all routers with the same view.
std::vector<member> choose_watch_seats(const std::vector<member>& live);

} // namespace endivelatch

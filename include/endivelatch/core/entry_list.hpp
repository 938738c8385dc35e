#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Selection of the router addresses that callers connect to.
namespace endivelatch {

/// Returns up to `max_addresses` live routers for a caller: the preferred router first, then
/// routers of the same failure domain, of the same region, and all others. `caller_hash`
/// determines the order within each group, which spreads callers over the routers. Only routers
/// with status `alive` are returned.
std::vector<member> entry_routers(const std::vector<member>& routers, const member& self,
                                  const std::optional<router_id>& preferred,
                                  std::uint64_t caller_hash, std::size_t max_addresses);

/// Returns the JSON body of a response to an entry call.
std::string entry_response_body(const std::vector<member>& routers, duration lifetime);

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The addresses that callers are told to connect to.
namespace endivelatch {

/// Returns up to `max_addresses` routers for a caller: the preferred one first, then those of
/// the failure domain, the region and the rest; spread over callers by `caller_hash`.
/// Routers that leave or are dead are never named.
std::vector<member> entry_routers(const std::vector<member>& routers, const member& self,
                                  const std::optional<router_id>& preferred,
                                  std::uint64_t caller_hash, std::size_t max_addresses);

/// Returns the JSON body of an entry answer.
std::string entry_response_body(const std::vector<member>& routers, duration lifetime);

} // namespace endivelatch

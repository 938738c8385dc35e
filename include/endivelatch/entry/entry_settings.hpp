#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endivelatch {

/// Limits set by the deployment. They may change while the process runs.
struct entry_bounds {
    double retry_share = 0.2; ///< Retries per request, over the whole fleet.
    double retry_burst = 10;  ///< Retries of the fleet allowed without requests.
    double load_bound = 2;    ///< Maximum load of a target relative to its pool's mean.
    /// A cold target gets in any second at most its pool's rate times the overage plus the slack,
    /// from the whole fleet.
    double cold_overage = 1;
    double cold_slack = 0;
    bool waits_for_room = false;        ///< Requests wait while no target has room for them.
    duration stop_grace{8'000'000};     ///< From the stop signal until the process is killed.
    duration entry_lifetime{1'000'000}; ///< How long callers may cache a list of entry addresses.
    /// Time within which all routers have to apply an evacuation. Nothing if the operator does not
    /// evacuate failure domains; then evacuations are not read.
    std::optional<duration> evacuation_time;

    friend bool operator==(const entry_bounds&, const entry_bounds&) = default;
};

/// Settings of an entry router.
struct entry_settings {
    router_id id;
    domain_id domain;
    region_id region;
    endpoint requests;                 ///< Serves callers.
    std::optional<endpoint> readiness; ///< Serves the platform's readiness checks.
    std::optional<endpoint> entries;   ///< Serves lists of entry addresses.
    endpoint peers;                    ///< Serves other routers (TCP).
    endpoint gossip;                   ///< Gossip with other routers (UDP).
    std::optional<endpoint> metrics;
    std::vector<endpoint> seeds; ///< Gossip addresses of other routers; may be outdated.
    endpoint store;              ///< The platform's store.
    /// Rate of this VM's network link, in bytes a second; zero if unknown.
    std::uint64_t link_rate = 0;
    /// Memory of this VM in bytes and descriptors of this process; zero if unknown.
    std::size_t memory_limit = 0;
    std::size_t descriptor_limit = 0;
    entry_bounds bounds;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace endivelatch {

/// Bounds of the deployment; they may change while the process runs.
struct entry_bounds {
    double retry_share = 0.2;           ///< Retries of the fleet per request.
    double retry_burst = 10;            ///< Retries of the fleet without any request.
    double load_bound = 2;              ///< Highest load of a target over the mean of its pool.
    duration stop_grace{8'000'000};     ///< From the stop signal until the process is killed.
    duration entry_lifetime{1'000'000}; ///< How long callers may keep a list of entry addresses.

    friend bool operator==(const entry_bounds&, const entry_bounds&) = default;
};

/// Everything that an entry router is told at its start.
struct entry_settings {
    router_id id;
    domain_id domain;
    region_id region;
    endpoint requests;                 ///< For callers.
    std::optional<endpoint> readiness; ///< For the platform's question whether it is ready.
    std::optional<endpoint> entries;   ///< For callers that ask for entry addresses.
    endpoint peers;                    ///< For other routers (TCP).
    endpoint gossip;                   ///< For other routers (UDP).
    std::optional<endpoint> metrics;
    std::vector<endpoint> seeds; ///< Gossip addresses of other routers; may be stale.
    endpoint store;              ///< The platform's store.
    /// Rate of this VM's network link, in bytes a second; zero when it is not known.
    std::uint64_t link_rate = 0;
    entry_bounds bounds;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivelatch {

/// Settings of a router, read from flags and environment variables at startup.
struct router_settings {
    member self;                   ///< Identity, failure domain, region and addresses.
    std::vector<endpoint> seeds;   ///< Gossip addresses of the initial peers.
    std::string fleet_key;         ///< Key shared by all routers; authenticates messages and hints.
    std::string operator_key_hash; ///< SHA-256 of the operator key, in hexadecimal.
    std::uint64_t seed = 1;        ///< Seed of the random number generators.
    std::uint32_t watchers_per_domain = 2; ///< Routers per failure domain that watch the platform.
    duration resume_grace = std::chrono::seconds{10}; ///< Time for a disconnected caller to resume.
    duration replay_retention = std::chrono::seconds{30}; ///< Time that ended responses are kept.
    std::size_t replay_bytes = 1'000'000; ///< Bytes kept per response for resuming callers.
    std::size_t window_events = 512;      ///< Maximum events sent but not yet credited.
    duration probe_period = std::chrono::milliseconds{500}; ///< Interval between load probes.
};

} // namespace endivelatch

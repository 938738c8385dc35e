#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/member.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endivelatch {

/// What one router is told at its start by flags and environment variables.
struct router_settings {
    member self;                   ///< Identity, failure domain, region and addresses.
    std::vector<endpoint> seeds;   ///< Gossip addresses of peers to start with.
    std::string fleet_key;         ///< Shared by all routers; authenticates messages and hints.
    std::string operator_key_hash; ///< SHA-256 of the operators' key, in hexadecimal.
    std::uint64_t seed = 1;        ///< Seed of all random choices.
    std::uint32_t watchers_per_domain = 2; ///< Routers of a failure domain that watch the platform.
    duration resume_grace = std::chrono::seconds{10};     ///< How long a lost caller may return.
    duration replay_retention = std::chrono::seconds{30}; ///< How long ended answers are kept.
    std::size_t replay_bytes = 1'000'000; ///< Kept of one answer for callers that return.
    std::size_t window_events = 512;      ///< Events sent ahead of the caller's reading.
    duration probe_period = std::chrono::milliseconds{500}; ///< Load probes of owned targets.
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endivelatch {

/// Timeouts and limits of the membership protocol. Each router counts its own periods.
struct membership_settings {
    duration period{std::chrono::milliseconds{500}};         ///< Time between probes.
    duration direct_timeout{std::chrono::milliseconds{200}}; ///< Until indirect probes start.
    duration probe_timeout{std::chrono::milliseconds{450}};  ///< Until suspicion.
    std::uint32_t indirect_probes = 3;                       ///< Peers asked for an indirect probe.
    std::uint32_t suspicion_base_periods = 6;                ///< Suspicion timeout in periods,
    std::uint32_t suspicion_doubling_periods = 2; ///< plus this per doubling of the fleet.
    std::uint32_t transmissions_per_doubling = 3; ///< Of an update, per doubling of the fleet.
    std::uint32_t dead_probe_periods = 6;         ///< Between probes of a dead member and a seed.
    std::uint32_t page_periods = 16;              ///< Between page requests once synchronised.
    std::uint32_t partial_page_periods = 6;       ///< Until pages of unsynchronised routers count.
    std::uint32_t pause_periods = 2;              ///< Timer delay that counts as a pause.
    std::size_t packet_size = 1'160;              ///< Maximum encoded size, in bytes.
    duration refresh_interval{std::chrono::minutes{1}}; ///< Between refreshes of a summary.
    duration dead_retention{std::chrono::hours{3}};     ///< Until a dead member is removed.
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/routing/target_directory.hpp"
#include "endivelatch/routing/warm_hint.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Selection of targets for a request; its time does not depend on the number of targets.
namespace endivelatch {

/// Settings of the target selection of one pool.
struct route_settings {
    std::uint32_t hash_candidates = 4; ///< Candidates by hash, in addition to the warm one.
    std::uint32_t prefix_replicas = 6; ///< Targets per shared prefix; zero spreads by chat.
    double prefill_rate = 20'000;      ///< Prefill speed of a target, in tokens/s.
    double wait_per_prefill = 2;       ///< Wait for a warm target per time of a prefill elsewhere.
    duration max_warm_wait = std::chrono::seconds{4}; ///< Limit of the wait for a warm target.
};

/// The properties of a request that determine its targets.
struct route_request {
    pool_id pool;
    organisation_id organisation;
    chat_id chat;                         ///< Empty for a call outside of a chat.
    std::uint64_t prefix_hash = 0;        ///< Of the chat's prefix; see `chat_prefix_hash`.
    std::uint64_t shared_prefix_hash = 0; ///< Of a prefix shared by many chats; zero for none.
    bool keeps_hints = false;      ///< The caller returns the chat's hint with its next turn.
    std::optional<warm_hint> hint; ///< Must have been decoded for this chat.
};

/// Why the first candidate is preferred.
enum class route_reason {
    none,         ///< There is no candidate.
    warm,         ///< Its cache should hold the chat's prefix.
    primary,      ///< It is the chat's primary target by hash.
    least_loaded, ///< It is the least loaded of the chat's targets by hash.
};

/// The targets to try.
struct route_choice {
    std::vector<target_id> candidates; ///< Best first.
    route_reason reason = route_reason::none;
    duration warm_wait{}; ///< How long to wait for a full warm target before trying the next one.
    std::uint32_t examined = 0; ///< Number of targets examined; bounds the time of the selection.
};

/// Returns the hash that identifies a chat's own prefix in requests, cache events and transfers.
std::uint64_t chat_prefix_hash(const organisation_id& organisation, const chat_id& chat);

/// Returns the ring position of a chat's primary target.
std::uint64_t primary_ring_position(std::uint64_t prefix_hash);

/// Returns the targets for a request: the warm one first, then those by hash.
///
/// The owner of a candidate enforces the load bound with its exact count and refuses the request
/// when the target is full; the entry router then tries the next candidate.
route_choice choose_targets(const target_directory& directory, const route_request& request,
                            const route_settings& settings);

} // namespace endivelatch

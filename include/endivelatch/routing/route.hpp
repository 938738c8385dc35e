#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/routing/target_directory.hpp"
#include "endivelatch/routing/warm_hint.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// The choice of targets for a request; it takes the same time for any number of targets.
namespace endivelatch {

/// How targets are chosen for the requests of one pool.
struct route_settings {
    std::uint32_t hash_candidates = 4; ///< Candidates by hash, besides the warm one.
    std::uint32_t prefix_replicas = 6; ///< Targets a shared prefix; zero spreads by chat.
    double prefill_rate = 20'000;      ///< Tokens a second that a target reads.
    double wait_per_prefill = 2;       ///< Wait for a warm target over the time of a prefill.
    duration max_warm_wait = std::chrono::seconds{4}; ///< Longest wait for a warm target.
};

/// What the choice depends on.
struct route_request {
    pool_id pool;
    organisation_id organisation;
    chat_id chat;                         ///< Empty for a call that belongs to no chat.
    std::uint64_t prefix_hash = 0;        ///< Names the chat's prefix; see `chat_prefix_hash`.
    std::uint64_t shared_prefix_hash = 0; ///< Names a prefix shared by many chats; zero for none.
    bool keeps_hints = false;             ///< The caller sends the chat's hint with its next turn.
    std::optional<warm_hint> hint;        ///< Must have been opened for this chat.
};

/// Why the first candidate comes first.
enum class route_reason {
    none,        ///< There is no candidate.
    warm,        ///< The chat's prefix should be in its cache.
    rendezvous,  ///< It is the chat's own place by hash.
    less_loaded, ///< It is the least loaded of its places by hash.
};

/// Targets to try, best first.
struct route_choice {
    std::vector<target_id> candidates;
    route_reason reason = route_reason::none;
    duration warm_wait{};       ///< Time to wait for a full warm target before trying the next one.
    std::uint32_t examined = 0; ///< Targets looked at, which bounds the time taken.
};

/// Returns the hash that names a chat's own prefix in requests, cache events and transfers.
std::uint64_t chat_prefix_hash(const organisation_id& organisation, const chat_id& chat);

/// Returns the ring position of the first place by hash of a chat.
std::uint64_t first_place_position(std::uint64_t prefix_hash);

/// Returns the targets for a request: where it is warm, then its places by hash.
///
/// The owner of each candidate checks the load bound with its exact count and refuses when the
/// target is full; the entry router then tries the next candidate.
route_choice choose_targets(const target_directory& directory, const route_request& request,
                            const route_settings& settings);

} // namespace endivelatch

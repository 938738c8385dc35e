#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/routing/target_directory.hpp"

#include <cstdint>
#include <span>
#include <vector>

/// Planning of cache transfers from a leaving target before it stops.
namespace endivelatch {

/// A prefix in the cache of a target.
struct cached_prefix {
    std::uint64_t prefix_hash = 0; ///< As given by `chat_prefix_hash`.
    std::uint32_t tokens = 0;
};

/// Export of one prefix from the leaving target and import at another.
struct prefix_transfer {
    std::uint64_t prefix_hash = 0;
    std::uint32_t tokens = 0;
    target_id destination;
};

/// Returns the transfers for a leaving target. Each prefix moves to the primary target of its chat
/// by hash, to which `choose_targets` sends the chat once the old target is gone.
///
/// `prefixes` are ordered by last use, latest first; the plan ends before the prefix that would
/// exceed `token_budget` tokens. The directory has to list the target as leaving already.
std::vector<prefix_transfer> plan_transfers(const target_directory& directory, const pool_id& pool,
                                            std::span<const cached_prefix> prefixes,
                                            std::uint64_t token_budget);

} // namespace endivelatch

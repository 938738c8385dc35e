#include "endivelatch/routing/cache_transfer.hpp"

#include "endivelatch/routing/route.hpp"

namespace endivelatch {

std::vector<prefix_transfer> plan_transfers(const target_directory& directory, const pool_id& pool,
                                            std::span<const cached_prefix> prefixes,
                                            std::uint64_t token_budget)
{
    std::vector<prefix_transfer> plan;
    const auto any = [](const target_state&) { return true; };
    for (const auto& it : prefixes) {
        const auto position = primary_ring_position(it.prefix_hash);
        const auto* destination = directory.lookup(pool, position, 1, any);
        if (destination == nullptr || it.tokens > token_budget) {
            return plan;
        }
        token_budget -= it.tokens;
        plan.push_back({it.prefix_hash, it.tokens, destination->id});
    }
    return plan;
}

} // namespace endivelatch

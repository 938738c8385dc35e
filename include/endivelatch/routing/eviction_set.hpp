#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_set>

namespace endivelatch {

/// Prefixes that a target is known to have evicted. Bounded: the oldest generation is discarded.
class eviction_set {
public:
    /// Adds a prefix.
    void add(std::uint64_t prefix_hash);

    /// Removes a prefix that is cached again.
    void remove(std::uint64_t prefix_hash);

    /// Returns whether the prefix is known to be evicted.
    bool contains(std::uint64_t prefix_hash) const;

    /// Removes all prefixes.
    void clear();

private:
    std::unordered_set<std::uint64_t> recent_;
    std::unordered_set<std::uint64_t> previous_; ///< The generation before `recent_`.
};

} // namespace endivelatch

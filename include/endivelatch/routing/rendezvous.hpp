#pragma once

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <utility>
#include <vector>

/// Rendezvous hashing (highest random weight) over hashes of keys and nodes.
namespace endivelatch {

/// Returned when there is no node.
inline constexpr std::size_t no_node = std::numeric_limits<std::size_t>::max();

/// Returns the weight of a node for a key.
constexpr std::uint64_t rendezvous_weight(std::uint64_t key_hash, std::uint64_t node_hash)
{
    return combine_hashes(key_hash, node_hash);
}

/// Returns the position of the node with the highest weight, or `no_node`. Linear in the number of
/// nodes.
template <class Node, class Hash>
std::size_t rendezvous_first(std::uint64_t key_hash, std::span<const Node> nodes, Hash hash_of)
{
    std::size_t best = no_node;
    std::uint64_t best_weight = 0;
    for (std::size_t it = 0; it < nodes.size(); ++it) {
        const auto weight = rendezvous_weight(key_hash, std::invoke(hash_of, nodes[it]));
        if (best == no_node || weight > best_weight) {
            best = it;
            best_weight = weight;
        }
    }
    return best;
}

/// Returns the positions of the `n` nodes with the highest weights, highest first.
template <class Node, class Hash>
std::vector<std::size_t> rendezvous_top(std::uint64_t key_hash, std::span<const Node> nodes,
                                        std::size_t n, Hash hash_of)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> weights;
    weights.reserve(nodes.size());
    for (std::size_t it = 0; it < nodes.size(); ++it) {
        weights.emplace_back(rendezvous_weight(key_hash, std::invoke(hash_of, nodes[it])), it);
    }
    n = std::min(n, weights.size());
    const auto middle = weights.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(weights.begin(), middle, weights.end(), std::greater<>{});
    std::vector<std::size_t> positions;
    positions.reserve(n);
    for (auto it = weights.begin(); it != middle; ++it) {
        positions.push_back(it->second);
    }
    return positions;
}

} // namespace endivelatch

#pragma once

#include "endivelatch/base/hash.hpp"
#include "endivelatch/base/ids.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Randomised round-robin list of members. Each round returns every member once in random order,
/// which bounds the time between two probes of a member.
class peer_ring {
public:
    /// Inserts the member at a random position of the current round, unless it is listed.
    void add(const router_id& id, random_source& random);

    /// Removes the member if it is listed.
    void remove(const router_id& id);

    /// Returns the next member of the round, or nothing if the list is empty.
    std::optional<router_id> next(random_source& random);

    /// Returns a random member without advancing the round.
    std::optional<router_id> pick_random(random_source& random) const;

    /// Returns the number of members.
    std::size_t size() const { return ids_.size(); }

private:
    /// Swaps the members at two positions.
    void swap_members(std::size_t a, std::size_t b);

    std::vector<router_id> ids_;
    std::unordered_map<router_id, std::size_t> positions_;
    std::size_t position_ = 0; ///< Index of the next member of the round.
};

} // namespace endivelatch

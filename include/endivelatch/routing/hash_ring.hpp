#pragma once

#include "endivelatch/base/hash.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endivelatch {

/// A consistent hash ring with virtual nodes, bucketed by the leading bits of the position.
///
/// Lookups depend only on the set of members, not on the order in which they were added. The
/// expected time of a lookup or a change does not depend on the number of members.
class hash_ring {
public:
    /// Identifies a member; assigned by the user of the ring.
    using member_index = std::uint32_t;

    hash_ring();

    /// Adds a member by its hash; the member must not be present.
    void add(std::uint64_t member_hash, member_index index);

    /// Removes a member; takes the hash with which it was added.
    void remove(std::uint64_t member_hash, member_index index);

    /// Returns the number of members.
    std::size_t size() const { return member_count_; }

    /// Returns the first accepted member at or after the key, or nothing when `accept` rejects the
    /// members of the next `max_points` points.
    template <class Accept>
    std::optional<member_index> find(std::uint64_t key, std::size_t max_points,
                                     Accept accept) const;

private:
    struct point {
        std::uint64_t position;
        member_index index;
    };
    using bucket = std::vector<point>;

    std::size_t bucket_of(std::uint64_t position) const { return position >> shift_; }
    void insert(point added);
    void grow();

    std::vector<bucket> buckets_; ///< By leading bits; each sorted by position.
    unsigned shift_;              ///< Low bits of a position that do not select the bucket.
    std::size_t member_count_ = 0;
};

template <class Accept>
std::optional<hash_ring::member_index> hash_ring::find(std::uint64_t key, std::size_t max_points,
                                                       Accept accept) const
{
    if (member_count_ == 0) {
        return std::nullopt;
    }
    std::size_t examined = 0;
    std::size_t at = bucket_of(key);
    bool in_first = true;
    while (examined < max_points) {
        for (const auto& it : buckets_[at]) {
            if (in_first && it.position < key) {
                continue;
            }
            if (accept(it.index)) {
                return it.index;
            }
            if (++examined == max_points) {
                return std::nullopt;
            }
        }
        in_first = false;
        at = (at + 1) % buckets_.size();
    }
    return std::nullopt;
}

} // namespace endivelatch

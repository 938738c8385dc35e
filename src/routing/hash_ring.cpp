#include "endivelatch/routing/hash_ring.hpp"

#include <algorithm>

namespace endivelatch {

namespace {

constexpr std::uint64_t points_per_member = 256;
constexpr std::size_t points_per_bucket = 8;
constexpr unsigned position_bits = 64;
constexpr unsigned initial_index_bits = 6;

} // namespace

hash_ring::hash_ring()
    : buckets_(std::size_t{1} << initial_index_bits), shift_{position_bits - initial_index_bits}
{
}

void hash_ring::add(std::uint64_t member_hash, member_index index)
{
    ++member_count_;
    if (member_count_ * points_per_member > buckets_.size() * points_per_bucket) {
        grow();
    }
    for (std::uint64_t it = 0; it < points_per_member; ++it) {
        insert({combine_hashes(member_hash, it), index});
    }
}

void hash_ring::remove(std::uint64_t member_hash, member_index index)
{
    for (std::uint64_t it = 0; it < points_per_member; ++it) {
        auto& points = buckets_[bucket_of(combine_hashes(member_hash, it))];
        std::erase_if(points, [&](const point& p) { return p.index == index; });
    }
    --member_count_;
}

void hash_ring::insert(point added)
{
    auto& points = buckets_[bucket_of(added.position)];
    const auto place =
        std::upper_bound(points.begin(), points.end(), added,
                         [](const point& a, const point& b) { return a.position < b.position; });
    points.insert(place, added);
}

void hash_ring::grow()
{
    std::vector<bucket> old_buckets(buckets_.size() * 2);
    old_buckets.swap(buckets_);
    --shift_;
    for (const auto& points : old_buckets) {
        for (const auto& it : points) {
            insert(it);
        }
    }
}

} // namespace endivelatch

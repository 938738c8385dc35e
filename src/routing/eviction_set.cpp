#include "endivelatch/routing/eviction_set.hpp"

namespace endivelatch {

namespace {

constexpr std::size_t max_generation_size = 4096; // prefixes

} // namespace

void eviction_set::add(std::uint64_t prefix_hash)
{
    if (recent_.size() >= max_generation_size) {
        previous_.swap(recent_);
        recent_.clear();
    }
    recent_.insert(prefix_hash);
}

void eviction_set::remove(std::uint64_t prefix_hash)
{
    recent_.erase(prefix_hash);
    previous_.erase(prefix_hash);
}

bool eviction_set::contains(std::uint64_t prefix_hash) const
{
    return recent_.contains(prefix_hash) || previous_.contains(prefix_hash);
}

void eviction_set::clear()
{
    recent_.clear();
    previous_.clear();
}

} // namespace endivelatch

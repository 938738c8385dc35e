#include "endivelatch/membership/peer_ring.hpp"

#include <utility>

namespace endivelatch {

void peer_ring::add(const router_id& id, random_source& random)
{
    const auto last = ids_.size();
    if (!positions_.try_emplace(id, last).second) {
        return;
    }
    ids_.push_back(id);
    swap_members(last, position_ + random.below(ids_.size() - position_));
}

void peer_ring::remove(const router_id& id)
{
    const auto found = positions_.find(id);
    if (found == positions_.end()) {
        return;
    }
    auto index = found->second;
    if (index < position_) {
        --position_;
        swap_members(index, position_);
        index = position_;
    }
    swap_members(index, ids_.size() - 1);
    ids_.pop_back();
    positions_.erase(id);
}

std::optional<router_id> peer_ring::next(random_source& random)
{
    if (ids_.empty()) {
        return std::nullopt;
    }
    if (position_ >= ids_.size()) {
        position_ = 0;
    }
    swap_members(position_, position_ + random.below(ids_.size() - position_));
    return ids_[position_++];
}

std::optional<router_id> peer_ring::pick_random(random_source& random) const
{
    if (ids_.empty()) {
        return std::nullopt;
    }
    return ids_[random.below(ids_.size())];
}

void peer_ring::swap_members(std::size_t a, std::size_t b)
{
    std::swap(ids_[a], ids_[b]);
    positions_[ids_[a]] = a;
    positions_[ids_[b]] = b;
}

} // namespace endivelatch

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace endivelatch {

/// Outcome of offering a queued item for a packet.
enum class offer_result {
    accepted, ///< The item is sent; counts as a transmission.
    skipped,  ///< The receiver does not need the item.
    no_space, ///< The item does not fit; ends the selection.
};

/// Queue of items that are each sent a limited number of times, ordered by fewest transmissions,
/// then newest first.
template <class Item>
class gossip_queue {
public:
    /// Adds the item with a transmission count of zero; resets the count of a queued item.
    void push(const Item& item)
    {
        remove(item);
        const queue_position added{0, --next_age_};
        order_.emplace(added, item);
        positions_.emplace(item, added);
    }

    /// Removes the item if it is queued.
    void remove(const Item& item)
    {
        const auto it = positions_.find(item);
        if (it == positions_.end()) {
            return;
        }
        order_.erase(it->second);
        positions_.erase(it);
    }

    /// Passes items in order to `accept` until it returns `no_space`. Counts a transmission of each
    /// accepted item, and removes items that reach `limit` transmissions.
    template <class Accept>
    void select(std::uint32_t limit, Accept accept)
    {
        std::vector<queue_position> accepted;
        for (const auto& [position, item] : order_) {
            const offer_result result = accept(item);
            if (result == offer_result::no_space) {
                break;
            }
            if (result == offer_result::accepted) {
                accepted.push_back(position);
            }
        }
        for (const auto& it : accepted) {
            count_transmission(it, limit);
        }
    }

    /// Counts a transmission of a queued item that was also received from a peer.
    void count_duplicate(const Item& item, std::uint32_t limit)
    {
        const auto it = positions_.find(item);
        if (it != positions_.end()) {
            count_transmission(it->second, limit);
        }
    }

    /// Returns the number of queued items.
    std::size_t size() const { return positions_.size(); }

private:
    /// Sort key of an item: fewest transmissions first, then lowest age.
    struct queue_position {
        std::uint32_t transmissions = 0;
        std::int64_t age = 0; ///< Lower for newer items.

        friend auto operator<=>(const queue_position&, const queue_position&) = default;
    };

    /// Increments the transmission count and reorders the item, or removes it at the limit.
    void count_transmission(queue_position position, std::uint32_t limit)
    {
        auto node = order_.extract(position);
        const auto sent = position.transmissions + 1;
        if (sent >= limit) {
            positions_.erase(node.mapped());
            return;
        }
        const queue_position moved{sent, position.age};
        positions_[node.mapped()] = moved;
        node.key() = moved;
        order_.insert(std::move(node));
    }

    std::map<queue_position, Item> order_;
    std::map<Item, queue_position> positions_;
    std::int64_t next_age_ = 0;
};

} // namespace endivelatch

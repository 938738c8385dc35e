#pragma once

#include "endivelatch/routing/cache_transfer.hpp"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace endivelatch::model {

/// An LRU cache of prompt prefixes, limited by their total number of tokens.
class prefix_cache {
public:
    explicit prefix_cache(std::uint64_t capacity) : capacity_{capacity} {}

    /// Returns the number of cached tokens of a prefix, or zero if it is not cached.
    std::uint32_t tokens_of(std::uint64_t prefix) const
    {
        const auto it = index_.find(prefix);
        return it == index_.end() ? 0 : it->second->tokens;
    }

    /// Stores a prefix as the most recently used; returns the prefixes evicted to make space.
    std::vector<std::uint64_t> store(std::uint64_t prefix, std::uint32_t tokens)
    {
        const auto known = index_.find(prefix);
        if (known != index_.end()) {
            used_ -= known->second->tokens;
            entries_.erase(known->second);
        }
        entries_.push_front({prefix, tokens});
        index_[prefix] = entries_.begin();
        used_ += tokens;
        std::vector<std::uint64_t> evicted;
        while (used_ > capacity_ && entries_.size() > 1) {
            const auto& last = entries_.back();
            used_ -= last.tokens;
            evicted.push_back(last.prefix);
            index_.erase(last.prefix);
            entries_.pop_back();
        }
        return evicted;
    }

    /// Returns all cached prefixes, most recently used first.
    std::vector<cached_prefix> contents() const
    {
        std::vector<cached_prefix> out;
        out.reserve(entries_.size());
        for (const auto& it : entries_) {
            out.push_back({it.prefix, it.tokens});
        }
        return out;
    }

    /// Removes all prefixes.
    void clear()
    {
        entries_.clear();
        index_.clear();
        used_ = 0;
    }

private:
    struct entry {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };

    std::uint64_t capacity_; ///< Limit in tokens.
    std::uint64_t used_ = 0;
    std::list<entry> entries_; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

} // namespace endivelatch::model

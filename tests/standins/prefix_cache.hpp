#pragma once

#include "json_server.hpp"

#include <deque>
#include <list>
#include <string>
#include <unordered_map>

namespace endivelatch::standins {

/// LRU cache of prompt prefixes. Cache events become visible after a delay.
class prefix_cache {
public:
    struct settings {
        std::size_t capacity = 64;   ///< Maximum number of prefixes.
        duration event_lag{500'000}; ///< Age at which an event becomes visible.
        std::uint64_t event_gap = 0; ///< Omits every Nth event; 0 omits none.
    };

    explicit prefix_cache(const settings& given) : settings_{given} {}

    /// Looks a prefix up and adds it if it is missing. Returns whether it was cached before.
    bool use(const std::string& prefix, time_point now)
    {
        const auto it = entries_.find(prefix);
        if (it != entries_.end()) {
            order_.splice(order_.begin(), order_, it->second);
            return true;
        }
        order_.push_front(prefix);
        entries_[prefix] = order_.begin();
        add_event("stored", prefix, now);
        if (order_.size() > settings_.capacity) {
            add_event("evicted", order_.back(), now);
            entries_.erase(order_.back());
            order_.pop_back();
        }
        return false;
    }

    /// Returns whether a prefix is cached, without changing the eviction order.
    bool contains(const std::string& prefix) const { return entries_.contains(prefix); }

    /// Returns the number of cached prefixes.
    std::size_t size() const { return order_.size(); }

    /// Discards all entries and events, as a restart does.
    void clear()
    {
        order_.clear();
        entries_.clear();
        events_.clear();
    }

    /// Returns the visible events with a number greater than `after`.
    json events_after(std::uint64_t after, time_point now) const
    {
        json visible = json::array();
        for (const auto& it : events_) {
            const bool is_omitted =
                settings_.event_gap != 0 && it.number % settings_.event_gap == 0;
            if (it.number > after && !is_omitted && now - it.at >= settings_.event_lag) {
                visible.push_back({{"n", it.number}, {"kind", it.kind}, {"prefix", it.prefix}});
            }
        }
        return visible;
    }

private:
    /// Maximum number of events in the log.
    static constexpr std::size_t max_events = 4'096;

    struct event {
        std::uint64_t number = 0;
        std::string kind;
        std::string prefix;
        time_point at;
    };

    void add_event(const std::string& kind, const std::string& prefix, time_point now)
    {
        events_.push_back({++last_event_number_, kind, prefix, now});
        if (events_.size() > max_events) {
            events_.pop_front();
        }
    }

    settings settings_;
    std::list<std::string> order_; ///< Most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> entries_;
    std::deque<event> events_;
    std::uint64_t last_event_number_ = 0;
};

} // namespace endivelatch::standins

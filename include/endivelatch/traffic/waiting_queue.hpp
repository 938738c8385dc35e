#pragma once

#include "endivelatch/traffic/yield_order.hpp"

#include <set>
#include <unordered_map>
#include <utility>

namespace endivelatch {

/// Requests of one pool that wait in this router until a target has room for them. Each operation
/// takes time that grows at most with the logarithm of their number and with the number of groups.
class waiting_queue {
public:
    /// Returns whether a new request would come up in time if places become free as they did
    /// lately. One that does not is refused at once rather than after a wait. Requests that wait
    /// already keep their chance, so that those that come back do not push out all others.
    bool can_come_up(const waiting_request& request, time_point now) const;

    /// Adds a request; its number must not be in the queue.
    void add(const waiting_request& request);

    /// Removes a request that found room.
    void release(exchange_number number, time_point now);

    /// Removes a request that ends otherwise. Requests that are not in the queue are ignored.
    void remove(exchange_number number);

    /// Removes and returns the requests that are to be refused now: those that cannot be in time
    /// any more, and the last ones in the order as long as they exceed the bounds.
    std::vector<waiting_request> take_refused(time_point now);

    /// Returns the groups that have requests, in the order in which they get room.
    std::vector<yield_group> groups(time_point now) const;

    /// Returns the first request of a group, if it has any.
    std::optional<exchange_number> first(const yield_group& group) const;

    /// Returns the earliest `latest_start`, if any request waits.
    std::optional<time_point> next_expiry() const;

    /// Returns the shares in which the groups were served.
    service_shares& shares() { return shares_; }

    /// Returns the number of requests.
    std::size_t size() const { return index_.size(); }
    bool empty() const { return index_.empty(); }

    /// Returns the memory that the requests hold.
    std::size_t bytes() const { return bytes_; }

    /// Maximum number of requests, and of bytes that they hold. A router of a large fleet serves a
    /// few hundred requests a second, of which some tenths of a second wait at most.
    static constexpr std::size_t max_requests = 256;
    static constexpr std::size_t max_bytes = 4'194'304;

private:
    struct by_place {
        bool operator()(const waiting_request& a, const waiting_request& b) const
        {
            return is_ahead(a, b);
        }
    };
    using group_requests = std::set<waiting_request, by_place>;

    std::optional<waiting_request> take(exchange_number number);

    std::map<yield_group, group_requests> requests_; ///< Without empty groups.
    std::unordered_map<exchange_number, waiting_request> index_;
    std::set<std::pair<time_point, exchange_number>> by_latest_start_;
    std::size_t bytes_ = 0;
    service_shares shares_;
    std::map<yield_group, release_pace> paces_;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// The requests in flight of one organisation on one router, as gossiped to peers.
struct organisation_usage {
    organisation_id organisation;
    std::uint32_t in_flight = 0;
};

/// Limits each organisation's requests in flight across the fleet, using this router's exact counts
/// and the counts reported by other routers.
///
/// Within any report delay a router starts at most its share of the free slots that it knows of
/// (free / routers, at least one). As long as reports arrive within the delay, the cap is exceeded
/// by at most one request for each other router.
class organisation_limiter {
public:
    /// Takes the longest time until a start here is known to all other routers.
    explicit organisation_limiter(duration report_delay = default_report_delay)
        : report_delay_{report_delay}
    {
    }

    /// Sets the cap of organisations without one of their own.
    void set_default_cap(std::uint32_t cap) { default_cap_ = cap; }

    /// Sets the organisation's own cap; zero selects the default.
    void set_cap(const organisation_id& organisation, std::uint32_t cap);

    /// Sets the number of live routers, this one included.
    void set_routers(std::uint32_t routers) { routers_ = routers; }

    /// Returns whether one more request of the organisation may start.
    bool may_start(const organisation_id& organisation, time_point now);

    /// Counts a started request.
    void started(const organisation_id& organisation, time_point now);

    /// Counts an ended request.
    void finished(const organisation_id& organisation);

    /// Records the count of another router; returns whether it is lower than the one before.
    bool remote_usage(const router_id& router, const organisation_id& organisation,
                      std::uint32_t in_flight);

    /// Drops all counts of a router that has left.
    void forget_router(const router_id& router);

    /// Returns the organisation's requests in flight on this router.
    std::uint32_t own_usage(const organisation_id& organisation) const;

    /// Returns the organisation's requests in flight on all routers, as far as known here.
    std::uint32_t known_usage(const organisation_id& organisation) const;

    /// Returns the non-zero counts of this router, in no particular order.
    std::vector<organisation_usage> own_usages() const;

    /// Returns when the next window begins, in which more requests may start.
    time_point next_window(time_point now) const;

    static constexpr duration default_report_delay{2'000'000};

private:
    struct entry {
        std::uint32_t cap = 0; ///< Zero selects the default.
        std::uint32_t own = 0;
        std::uint32_t remote = 0; ///< Sum over the other routers.
        std::int64_t window = 0;  ///< Index of the current window since boot.
        std::uint32_t starts = 0; ///< Within the current window.
        std::uint32_t previous_starts = 0;
        std::unordered_map<router_id, std::uint32_t> by_router;
    };

    /// Advances the entry to the current window.
    void advance(entry& e, time_point now) const;

    duration report_delay_;
    std::uint32_t default_cap_ = 64;
    std::uint32_t routers_ = 1;
    std::unordered_map<organisation_id, entry> entries_;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/token_bucket.hpp"
#include "endivelatch/membership/failure_table.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace endivelatch {

/// The live routers, which share the rate limits of targets.
struct router_fleet {
    router_key self;
    std::vector<router_key> others;
};

/// Share of one router in a rate limit.
struct limit_share {
    std::size_t senders = 0; ///< Routers that may send.
    double rate = 0;         ///< Requests per second of this router; 0 if it may not send.
    double burst = 0;        ///< Requests that it may send at once.
};

/// Returns the position of this router among the live ones in the rendezvous order of a target.
std::size_t sender_rank(std::uint64_t target_hash, const router_fleet& fleet);

/// Returns the share of a router with the given rank in the rate limit of a target. `demand` is the
/// rate at which this router would send to the target without the limit.
///
/// Routers do not coordinate each request, so all senders may use their bursts at the same time.
/// With the smallest number of senders and their bursts, all routers together stay below 1.5 times
/// the limit plus 5 requests in any 4 s, whatever the demand. If the demand of each router is so
/// low that these senders would not use the limit, there are more of them: as many as make the
/// demand twice the share, so that about a third of the buckets is full.
limit_share share_of(request_rate limit, request_rate demand, std::size_t rank,
                     std::size_t routers);

/// Applies this router's share in the rate limit of a target.
class shared_limit {
public:
    shared_limit(request_rate limit, time_point stated_at, request_rate demand,
                 std::uint64_t target_hash, const router_fleet& fleet, time_point now);

    /// Updates limit and demand, after a new statement of the target.
    void set_limit(request_rate limit, time_point stated_at, request_rate demand, time_point now);

    /// Updates the share of this router after a change of the live routers.
    void set_fleet(const router_fleet& fleet, time_point now);

    request_rate limit() const { return limit_; }
    const limit_share& share() const { return share_; }

    /// Returns the time until this router may send the next request; zero if it may send now.
    duration wait(time_point now) const;

    /// Records that a request was sent.
    void record_send(time_point now);

    /// Returned by `wait` if this router is not one of the senders.
    static constexpr duration max_wait{60'000'000};
    /// Requests that the smallest number of senders may send at once: this many seconds' worth of
    /// the limit plus a constant.
    static constexpr double burst_seconds = 1.75;
    static constexpr double min_bursts = 4;
    /// Demand of a sender, relative to its share, with more senders than the smallest number.
    static constexpr double demand_per_share = 2;
    /// Rate at which targets are tried that state a lower limit, in requests per second over all
    /// routers, since only an answer shows that a limit was lifted.
    static constexpr double min_rate = 0.25;

private:
    void update_share(time_point now);

    request_rate limit_;
    request_rate demand_;
    time_point stated_at_;
    std::uint64_t target_hash_;
    std::size_t rank_;
    std::size_t routers_;
    limit_share share_;
    token_bucket budget_;
};

} // namespace endivelatch

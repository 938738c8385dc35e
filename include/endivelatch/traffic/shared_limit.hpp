#pragma once

#include "endivelatch/base/request_rate.hpp"
#include "endivelatch/base/token_bucket.hpp"
#include "endivelatch/membership/failure_table.hpp"

#include <cstdint>
#include <optional>
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

/// Returns the share of this router in the rate limit of a target.
///
/// Routers do not coordinate each request, so each sender may use its burst at the same time. The
/// number of senders, chosen by rendezvous hashing, and their bursts grow with the limit, so that
/// all routers together stay below 1.5 times the limit plus 5 requests in any 4 s.
limit_share share_of(request_rate limit, std::uint64_t target_hash, const router_fleet& fleet);

/// Applies this router's share in the rate limit of a target.
class shared_limit {
public:
    shared_limit(request_rate limit, time_point stated_at, std::uint64_t target_hash,
                 const router_fleet& fleet, time_point now);

    /// Updates the limit, after a new statement of the target.
    void set_limit(request_rate limit, time_point stated_at, const router_fleet& fleet,
                   time_point now);

    /// Updates the share of this router after a change of the live routers.
    void update_share(const router_fleet& fleet, time_point now);

    request_rate limit() const { return limit_; }
    const limit_share& share() const { return share_; }

    /// Returns the time until this router may send the next request; zero if it may send now.
    duration wait(time_point now) const;

    /// Records that a request was sent.
    void record_send(time_point now);

    /// Returned by `wait` if this router is not one of the senders.
    static constexpr duration max_wait{60'000'000};
    /// Requests that all senders together may send at once: this many seconds' worth of the limit
    /// plus a constant.
    static constexpr double burst_seconds = 1.75;
    static constexpr double min_bursts = 4;
    /// Rate at which targets are tried that state a lower limit, in requests per second over all
    /// routers, since only an answer shows that a limit was lifted.
    static constexpr double min_rate = 0.25;

private:
    request_rate limit_;
    time_point stated_at_;
    std::uint64_t target_hash_;
    limit_share share_;
    token_bucket budget_;
};

} // namespace endivelatch

#include "endivelatch/traffic/shared_limit.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/limit_table.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <limits>

namespace endivelatch {

namespace {

/// Returns the tokens with which a router starts. They differ between routers as in the steady
/// state, in which a share of the buckets is full and the others are being filled.
double initial_tokens(std::uint64_t target_hash, router_key self)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    constexpr double full_share = 1 / (1 + shared_limit::demand_per_share);
    const auto position = static_cast<double>(mix_bits(target_hash ^ self.value())) / range;
    return std::min(position / (1 - full_share), 1.0);
}

} // namespace

std::size_t sender_rank(std::uint64_t target_hash, const router_fleet& fleet)
{
    const auto own_weight = rendezvous_weight(target_hash, fleet.self.value());
    const auto before = std::count_if(fleet.others.begin(), fleet.others.end(), [&](auto it) {
        return rendezvous_weight(target_hash, it.value()) > own_weight;
    });
    return static_cast<std::size_t>(before);
}

limit_share share_of(request_rate limit, request_rate demand, std::size_t rank, std::size_t routers)
{
    const auto rate = std::max(limit.per_second, shared_limit::min_rate);
    const auto bursts = limit.per_second * shared_limit::burst_seconds + shared_limit::min_bursts;
    auto senders = bursts;
    if (demand.per_second > 0) {
        const auto used_by = rate * shared_limit::demand_per_share / demand.per_second;
        senders = std::max(senders, used_by);
    }
    limit_share share;
    share.senders = static_cast<std::size_t>(std::min(senders, static_cast<double>(routers)));
    if (rank >= share.senders) {
        return share;
    }
    const auto count = static_cast<double>(share.senders);
    share.rate = rate / count;
    share.burst = std::max(bursts / count, 1.0);
    return share;
}

shared_limit::shared_limit(request_rate limit, time_point stated_at, request_rate demand,
                           std::uint64_t target_hash, const router_fleet& fleet, time_point now)
    : limit_{limit}, demand_{demand}, stated_at_{stated_at}, target_hash_{target_hash},
      rank_{sender_rank(target_hash, fleet)}, routers_{fleet.others.size() + 1},
      share_{share_of(limit, demand, rank_, routers_)}, budget_{
                                                            share_.rate, share_.burst,
                                                            initial_tokens(target_hash, fleet.self)}
{
    budget_.set_rate(share_.rate, share_.burst, now);
}

void shared_limit::set_limit(request_rate limit, time_point stated_at, request_rate demand,
                             time_point now)
{
    limit_ = limit;
    stated_at_ = stated_at;
    demand_ = demand;
    update_share(now);
}

void shared_limit::set_fleet(const router_fleet& fleet, time_point now)
{
    rank_ = sender_rank(target_hash_, fleet);
    routers_ = fleet.others.size() + 1;
    update_share(now);
}

void shared_limit::update_share(time_point now)
{
    share_ = share_of(limit_, demand_, rank_, routers_);
    budget_.set_rate(share_.rate, share_.burst, now);
}

duration shared_limit::wait(time_point now) const
{
    if (now - stated_at_ > limit_table::lifetime) {
        return duration{};
    }
    return share_.rate > 0 ? std::min(budget_.wait(now), max_wait) : max_wait;
}

void shared_limit::record_send(time_point now)
{
    budget_.take(now);
}

} // namespace endivelatch

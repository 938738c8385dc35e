#include "endivelatch/traffic/shared_limit.hpp"

#include "endivelatch/base/hash.hpp"
#include "endivelatch/membership/limit_table.hpp"
#include "endivelatch/routing/rendezvous.hpp"

#include <algorithm>
#include <limits>

namespace endivelatch {

namespace {

/// Returns a number in [0, 1) that differs between routers, so that they do not send at once.
double initial_tokens(std::uint64_t target_hash, router_key self)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(mix_bits(target_hash ^ self.value())) / range;
}

} // namespace

limit_share share_of(request_rate limit, std::uint64_t target_hash, const router_fleet& fleet)
{
    const auto weight_of = [&](router_key router) {
        return rendezvous_weight(target_hash, router.value());
    };
    const auto routers = fleet.others.size() + 1;
    const auto bursts = limit.per_second * shared_limit::burst_seconds + shared_limit::min_bursts;
    limit_share share;
    share.senders = static_cast<std::size_t>(std::min(bursts, static_cast<double>(routers)));
    const auto own_weight = weight_of(fleet.self);
    const auto rank = std::count_if(fleet.others.begin(), fleet.others.end(),
                                    [&](auto it) { return weight_of(it) > own_weight; });
    if (static_cast<std::size_t>(rank) >= share.senders) {
        return share;
    }
    const auto senders = static_cast<double>(share.senders);
    share.rate = std::max(limit.per_second, shared_limit::min_rate) / senders;
    share.burst = bursts / senders;
    return share;
}

shared_limit::shared_limit(request_rate limit, time_point stated_at, std::uint64_t target_hash,
                           const router_fleet& fleet, time_point now)
    : limit_{limit}, stated_at_{stated_at}, target_hash_{target_hash},
      share_{share_of(limit, target_hash, fleet)}, budget_{share_.rate, share_.burst,
                                                           initial_tokens(target_hash, fleet.self)}
{
    budget_.set_rate(share_.rate, share_.burst, now);
}

void shared_limit::set_limit(request_rate limit, time_point stated_at, const router_fleet& fleet,
                             time_point now)
{
    stated_at_ = stated_at;
    if (limit != limit_) {
        limit_ = limit;
        update_share(fleet, now);
    }
}

void shared_limit::update_share(const router_fleet& fleet, time_point now)
{
    share_ = share_of(limit_, target_hash_, fleet);
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

#include "endivelatch/traffic/shared_limit.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t target_hash = 0x1234'5678'9abc'def0;
/// More than any limit.
constexpr request_rate pressing{100};

router_fleet fleet_of(std::size_t self, std::size_t count)
{
    router_fleet fleet{key_of(router_id{"r" + std::to_string(self)}), {}};
    for (std::size_t n = 0; n < count; ++n) {
        if (n != self) {
            fleet.others.push_back(key_of(router_id{"r" + std::to_string(n)}));
        }
    }
    return fleet;
}

/// Requests at one target from routers that have a limit.
struct limited_fleet {
    /// `demand` is that of each router.
    limited_fleet(std::size_t routers, request_rate limit, request_rate demand)
        : usual_demand{demand}
    {
        for (std::size_t n = 0; n < routers; ++n) {
            shares.emplace_back(limit, clock.now(), demand, target_hash, fleet_of(n, routers),
                                clock.now());
        }
    }

    /// Lets time pass in which each router has the given chance to send a request in each step.
    void run(duration length, double demand)
    {
        constexpr auto step = milliseconds{10};
        for (const auto ends_at = clock.now() + length; clock.now() < ends_at;) {
            clock.advance(step);
            for (auto& it : shares) {
                it.set_limit(it.limit(), clock.now(), usual_demand, clock.now());
                const bool wants = static_cast<double>(random.below(1'000'000)) < demand * 1e6;
                if (wants && it.wait(clock.now()) == duration{}) {
                    it.record_send(clock.now());
                    sent.push_back(clock.now());
                }
            }
        }
    }

    /// Returns the most requests in any span of 4 s.
    std::size_t most_in_window() const
    {
        std::size_t most = 0;
        std::deque<time_point> window;
        for (const auto at : sent) {
            window.push_back(at);
            while (at - window.front() > seconds{4}) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return most;
    }

    manual_clock clock;
    request_rate usual_demand;
    random_source random{11};
    std::vector<shared_limit> shares;
    std::vector<time_point> sent;
};

/// The users' rule: 1.5 times the limit in 4 s plus 5 requests.
double allowed(request_rate limit)
{
    return 1.5 * 4 * limit.per_second + 5;
}

// Incident 2026-12-04-limits-of-targets-ignored: the sum over all routers counts.
TEST(shared_limit, all_routers_together_stay_within_the_limit)
{
    for (const std::size_t routers : {1U, 8U, 90U, 295U}) {
        for (const double per_second : {0.0, 0.3, 2.8, 26.0}) {
            SCOPED_TRACE(std::to_string(routers) + " routers, limit " + std::to_string(per_second));
            const request_rate limit{per_second};
            limited_fleet it{routers, limit, pressing};
            it.run(seconds{40}, 1);
            EXPECT_LE(static_cast<double>(it.most_in_window()), allowed(limit));
            EXPECT_GE(static_cast<double>(it.sent.size()), 0.75 * 40 * per_second);
        }
    }
}

// Unused shares of a calm time must not be sent at once.
TEST(shared_limit, a_burst_after_a_calm_time_stays_within_the_limit)
{
    for (const std::size_t routers : {8U, 295U}) {
        const request_rate limit{2.8};
        limited_fleet it{routers, limit, pressing};
        it.run(seconds{40}, 0);
        it.run(seconds{10}, 1);
        EXPECT_LE(static_cast<double>(it.most_in_window()), allowed(limit));
    }
}

// Only an answer shows that a limit was lifted.
TEST(shared_limit, a_limit_of_zero_is_tried_now_and_then)
{
    limited_fleet it{8, request_rate{0}, pressing};
    it.run(seconds{60}, 1);
    EXPECT_GE(it.sent.size(), 10U);
}

TEST(shared_limit, an_unconfirmed_limit_expires)
{
    manual_clock clock;
    shared_limit it{request_rate{0}, clock.now(),      pressing,
                    target_hash,     fleet_of(0, 295), clock.now()};
    clock.advance(seconds{61});
    EXPECT_EQ(it.wait(clock.now()), duration{});
}

TEST(shared_limit, routers_that_leave_free_their_shares)
{
    const request_rate limit{2.8};
    EXPECT_LT(share_of(limit, pressing, 0, 8).rate, share_of(limit, pressing, 0, 4).rate);
    EXPECT_EQ(share_of(limit, pressing, 0, 295).senders, 8U);
    EXPECT_EQ(share_of(limit, pressing, 8, 295).rate, 0);
}

// Load pattern of the large fleet: each router would send to a target once in a minute. Few senders
// left most of the limit unused and noticed its end only after many seconds.
TEST(shared_limit, many_routers_with_little_usual_demanduse_the_limit)
{
    constexpr std::size_t routers = 295;
    const request_rate limit{2.8};
    const request_rate demand{0.019};
    limited_fleet it{routers, limit, demand};
    it.run(seconds{40}, demand.per_second * 0.01);
    const auto per_second = static_cast<double>(it.sent.size()) / 40;
    EXPECT_GE(per_second, 0.5 * limit.per_second);
    EXPECT_LE(per_second, limit.per_second);
    EXPECT_LE(static_cast<double>(it.most_in_window()), allowed(limit));
}

// Load pattern: a plain service whose requests rise to three times the usual.
TEST(shared_limit, a_sudden_usual_demandstays_within_the_limit)
{
    const request_rate limit{26};
    const request_rate demand{0.58};
    limited_fleet it{90, limit, demand};
    it.run(seconds{20}, demand.per_second * 0.01);
    it.run(seconds{10}, 3 * demand.per_second * 0.01);
    EXPECT_LE(static_cast<double>(it.most_in_window()), allowed(limit));
    EXPECT_GE(static_cast<double>(it.sent.size()), 0.5 * 30 * limit.per_second);
}

} // namespace
} // namespace endivelatch

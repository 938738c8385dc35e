#include "endivelatch/traffic/organisation_usage.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <numeric>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t organisation_count = 24;
constexpr std::size_t surging = 2;

organisation_id organisation(std::size_t n)
{
    return organisation_id{"org-" + std::to_string(n)};
}

/// A fleet whose pool has room for `room` times the usual work. Callers of 24 organisations, a few
/// of them large, ask routers at random. Requests within their organisation's share go first, and
/// whatever found no room within `patience` is refused.
class shared_pool {
public:
    shared_pool(std::size_t routers, double room)
        : usages_(routers), room_ms_{usual_rate * mean_work_ms * room}
    {
    }

    /// Lets time pass. The surging organisation asks for `surge` times its usual, the others for
    /// `others` times.
    void run(duration length, double surge, double others)
    {
        asked = {};
        served = {};
        for (const auto ends_at = clock_.now() + length; clock_.now() < ends_at;) {
            clock_.advance(step);
            for (std::size_t n = 0; n < organisation_count; ++n) {
                arrive(n, n == surging ? surge : others);
            }
            serve();
            if (++steps_ % 2 == 0) {
                exchange();
            }
        }
    }

    double served_share(std::size_t n) const { return served[n] / asked[n]; }

    /// Returns the served share of all organisations but the surging one.
    double served_share_of_others() const
    {
        return (total(served) - served[surging]) / (total(asked) - asked[surging]);
    }

    /// Returns the share of the room that was used.
    double use(duration length) const
    {
        return total(served) / (room_ms_ * std::chrono::duration<double>{length}.count());
    }

    static double total(const std::array<double, organisation_count>& all)
    {
        return std::accumulate(all.begin(), all.end(), 0.0);
    }

    std::array<double, organisation_count> asked{};
    std::array<double, organisation_count> served{};

private:
    static constexpr duration step = milliseconds{100};
    static constexpr duration patience = milliseconds{400};
    static constexpr double usual_rate = 500; ///< Requests per second.
    static constexpr double mean_work_ms = 40;

    struct request {
        std::size_t organisation = 0;
        std::size_t router = 0;
        double work_ms = 0;
        std::uint64_t hash = 0;
        time_point at{};
    };

    double uniform() { return static_cast<double>(random_.below(1'000'000)) / 1e6; }

    void arrive(std::size_t n, double factor)
    {
        static const double total = [] {
            double sum = 0;
            for (std::size_t i = 0; i < organisation_count; ++i) {
                sum += 1.0 / static_cast<double>(i + 1);
            }
            return sum;
        }();
        const auto expected = usual_rate * 0.1 * factor / static_cast<double>(n + 1) / total;
        auto count = static_cast<int>(expected);
        count += uniform() < expected - count ? 1 : 0;
        for (int i = 0; i < count; ++i) {
            request it;
            it.organisation = n;
            it.router = random_.below(usages_.size());
            it.work_ms = -mean_work_ms * std::log(1 - uniform());
            it.hash = ++last_hash_;
            it.at = clock_.now();
            usages_[it.router].record_arrival(organisation(n), it.work_ms, clock_.now());
            asked[n] += it.work_ms;
            waiting_.push_back(it);
        }
    }

    void serve()
    {
        std::erase_if(waiting_, [&](const auto& it) { return clock_.now() - it.at > patience; });
        std::vector<request> excess;
        std::vector<request> fair;
        for (const auto& it : waiting_) {
            const bool is_excess =
                usages_[it.router].is_excess(organisation(it.organisation), it.hash, clock_.now());
            (is_excess ? excess : fair).push_back(it);
        }
        auto room = room_ms_ * 0.1;
        waiting_.clear();
        for (const auto* group : {&fair, &excess}) {
            for (const auto& it : *group) {
                if (room < it.work_ms) {
                    waiting_.push_back(it);
                    continue;
                }
                room -= it.work_ms;
                served[it.organisation] += it.work_ms;
                usages_[it.router].record_service(organisation(it.organisation), it.work_ms,
                                                  clock_.now());
            }
        }
    }

    /// Each router tells two others, as in the packets that routers of large fleets send.
    void exchange()
    {
        for (auto& it : usages_) {
            const auto report = it.report(clock_.now());
            for (int n = 0; n < 2; ++n) {
                auto& other = usages_[random_.below(usages_.size())];
                if (&other != &it) {
                    other.merge(report, clock_.now());
                }
            }
        }
    }

    manual_clock clock_;
    random_source random_{7};
    std::vector<organisation_usage> usages_;
    std::deque<request> waiting_;
    double room_ms_;
    int steps_ = 0;
    std::uint64_t last_hash_ = 0;
};

constexpr std::array<std::size_t, 4> fleet_sizes{1, 8, 79, 125};

// Load pattern: one organisation of 24 asks for six times its usual, so that the pool is asked for
// 1.3 times what it can do. Without shares everybody would be served three quarters.
TEST(organisation_usage, a_surge_costs_the_others_little)
{
    for (const auto routers : fleet_sizes) {
        SCOPED_TRACE(routers);
        shared_pool it{routers, 1.1};
        it.run(seconds{15}, 1, 1);
        it.run(seconds{20}, 6, 1);
        EXPECT_GE(it.served_share_of_others(), 0.95);
        EXPECT_GE(it.use(seconds{20}), 0.95);
    }
}

TEST(organisation_usage, an_organisation_alone_may_use_all)
{
    for (const auto routers : fleet_sizes) {
        SCOPED_TRACE(routers);
        shared_pool it{routers, 0.3};
        it.run(seconds{10}, 1, 0);
        it.run(seconds{10}, 6, 0);
        EXPECT_GE(it.use(seconds{10}), 0.95);
    }
}

// Load pattern: all organisations ask for twice their usual. Small ones are not starved for that,
// and large ones not for being large.
TEST(organisation_usage, a_rise_of_all_starves_nobody)
{
    for (const auto routers : fleet_sizes) {
        SCOPED_TRACE(routers);
        shared_pool it{routers, 1.2};
        it.run(seconds{15}, 1, 1);
        it.run(seconds{20}, 2, 2);
        for (std::size_t n = 0; n < organisation_count; ++n) {
            EXPECT_GE(it.served_share(n), 0.4) << n;
        }
    }
}

TEST(organisation_usage, only_what_exceeds_the_share_is_excess)
{
    manual_clock clock;
    organisation_usage usage;
    const auto ask = [&](std::size_t n, double asked_ms, double served_ms) {
        usage.record_arrival(organisation(n), asked_ms, clock.now());
        usage.record_service(organisation(n), served_ms, clock.now());
    };
    for (int n = 0; n < 200; ++n) {
        clock.advance(milliseconds{50});
        ask(1, 10, 10);
        ask(2, 10, 10);
    }
    EXPECT_EQ(usage.excess(organisation(1), clock.now()), 0);
    for (int n = 0; n < 100; ++n) {
        clock.advance(milliseconds{50});
        ask(1, 30, 15); // Both weigh the same, and 25 of 40 are served: 15 for this one.
        ask(2, 10, 10);
    }
    EXPECT_NEAR(usage.excess(organisation(1), clock.now()), 0.5, 0.1);
    EXPECT_EQ(usage.excess(organisation(2), clock.now()), 0);
    EXPECT_EQ(usage.excess(organisation(3), clock.now()), 0);
}

// A router that has started during a shortage has no usual use to compare with.
TEST(organisation_usage, without_usual_use_all_organisations_weigh_the_same)
{
    manual_clock clock;
    organisation_usage usage;
    for (int n = 0; n < 100; ++n) {
        clock.advance(milliseconds{20});
        usage.record_arrival(organisation(1), 30, clock.now());
        usage.record_arrival(organisation(2), 10, clock.now());
        usage.record_service(organisation(1), 10, clock.now());
        usage.record_service(organisation(2), 10, clock.now());
        usage.excess(organisation(1), clock.now());
    }
    EXPECT_NEAR(usage.excess(organisation(1), clock.now()), 0.67, 0.1);
    EXPECT_EQ(usage.excess(organisation(2), clock.now()), 0);
}

TEST(organisation_usage, reports_hold_the_organisations_that_ask_for_most)
{
    manual_clock clock;
    organisation_usage usage;
    for (std::size_t n = 0; n < 40; ++n) {
        usage.record_arrival(organisation(n), static_cast<double>(n + 1), clock.now());
    }
    EXPECT_TRUE(usage.report(clock.now()).empty());
    clock.advance(organisation_usage::min_report_time);
    const auto report = usage.report(clock.now());
    ASSERT_EQ(report.size(), max_reported_uses);
    EXPECT_EQ(report.front().organisation, key_of(organisation(39)));
    organisation_usage other;
    other.merge(report, clock.now());
    clock.advance(organisation_usage::min_report_time);
    const auto mixed = other.report(clock.now());
    ASSERT_EQ(mixed.size(), max_reported_uses);
    EXPECT_EQ(mixed.front().organisation, key_of(organisation(39)));
    const auto kept = std::exp(-2.0); // Two times `mean_time` without requests of its own.
    EXPECT_NEAR(mixed.front().asked, report.front().asked / 2 * kept, 0.01);
}

} // namespace
} // namespace endivelatch

#include "endivelatch/traffic/cold_start.hpp"

#include "endivelatch/base/hash.hpp"

#include <algorithm>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr cold_start_limit limit{seconds{3}, request_rate{11}};
constexpr double overage = 1.5;
constexpr double slack = 5;
/// Requests that a cold target may get in any second.
constexpr double bound = 11 * overage + slack;
constexpr std::size_t target_count = 6;

/// One router and what it knows of the fleet and of the targets.
struct cold_router {
    router_key key;
    cold_senders senders;
    std::vector<cold_start> targets;
    time_point started_at{};
    int group = 0; ///< Routers of other groups are unreachable.
};

/// A fleet whose routers press on the targets of a failure domain that are all cold. Its routers
/// restart, are replaced by new ones, and are cut off from each other.
class cold_fleet {
public:
    cold_fleet(std::size_t routers, std::uint64_t seed) : random_{seed}, sent_(target_count)
    {
        for (std::size_t n = 0; n < routers; ++n) {
            routers_.emplace_back();
            start(routers_.back(), true);
        }
        exchange_views();
        run(seconds{5}, 0);
        clear();
    }

    /// Lets time pass. Each router sends what it may; the chance of a change of the fleet is per
    /// step.
    void run(duration length, double chance_of_change)
    {
        for (const auto ends_at = clock_.now() + length; clock_.now() < ends_at;) {
            clock_.advance(step);
            if (chance(chance_of_change)) {
                change_fleet();
            }
            if (++steps_ % 10 == 0) {
                exchange_views();
            }
            for (auto& it : routers_) {
                send(it);
            }
        }
    }

    /// Makes all targets cold. Routers learn of it within half a second.
    void turn_cold()
    {
        for (auto& it : routers_) {
            const auto age = milliseconds{random_.below(500)};
            for (auto& target : it.targets) {
                target.record_statement(limit.time + age, clock_.now());
            }
        }
    }

    /// Forgets what was sent.
    void clear()
    {
        for (auto& it : sent_) {
            it.clear();
        }
    }

    /// Returns the most requests that a target got in any second.
    double most_in_a_second() const
    {
        std::size_t most = 0;
        for (const auto& it : sent_) {
            for (auto first = it.begin(); first != it.end(); ++first) {
                const auto last = it.upper_bound(*first + seconds{1});
                most = std::max(most, static_cast<std::size_t>(std::distance(first, last)));
            }
        }
        return static_cast<double>(most);
    }

    /// Returns the mean number of requests per target.
    double sent_per_target() const
    {
        std::size_t all = 0;
        for (const auto& it : sent_) {
            all += it.size();
        }
        return static_cast<double>(all) / static_cast<double>(target_count);
    }

private:
    static constexpr duration step = milliseconds{20};

    bool chance(double share)
    {
        return static_cast<double>(random_.below(1'000'000)) < share * 1e6;
    }

    /// Starts or restarts a router; it reads the registrations of the cold targets.
    void start(cold_router& router, bool is_new)
    {
        if (is_new) {
            router.key = key_of(router_id{"r" + std::to_string(++last_router_)});
        }
        router.started_at = clock_.now();
        router.senders = {};
        router.senders.start(clock_.now());
        router.senders.add_registered({router.key, registered()}, clock_.now());
        router.targets.clear();
        for (std::uint64_t n = 1; n <= target_count; ++n) {
            router.targets.emplace_back(mix_bits(n));
            router.targets.back().set_rule(make_cold_rule(limit, overage, slack), clock_.now());
            router.targets.back().record_statement(limit.time, clock_.now());
        }
        update_senders(router);
    }

    /// Returns the routers that the store lists.
    std::vector<router_key> registered() const
    {
        std::vector<router_key> all;
        for (const auto& it : routers_) {
            all.push_back(it.key);
        }
        return all;
    }

    void update_senders(cold_router& router)
    {
        const auto view = std::make_shared<const cold_sender_view>(router.senders.view());
        for (auto& it : router.targets) {
            it.set_senders(view, clock_.now());
        }
    }

    void change_fleet()
    {
        auto& router = routers_[random_.below(routers_.size())];
        const auto kind = random_.below(6);
        if (kind < 2) {
            start(router, kind == 1);
        }
        else if (kind == 2) {
            router.group = static_cast<int>(random_.below(1'000));
        }
        else if (kind == 3) {
            for (std::size_t n = 0; n < routers_.size() / 2; ++n) {
                routers_[n].group = 1'001;
            }
        }
        else {
            for (auto& it : routers_) {
                it.group = 0;
            }
        }
    }

    /// Routers know each other 2.5 s after both have started; before, some do.
    void exchange_views()
    {
        for (auto& it : routers_) {
            router_fleet live{it.key, {}};
            for (const auto& other : routers_) {
                const auto age = clock_.now() - std::max(it.started_at, other.started_at);
                const bool is_known = age > milliseconds{2'500} || random_.below(2) == 0;
                if (&other != &it && other.group == it.group && is_known) {
                    live.others.push_back(other.key);
                }
            }
            it.senders.set_live(live, clock_.now());
            update_senders(it);
        }
    }

    void send(cold_router& router)
    {
        for (std::size_t n = 0; n < target_count; ++n) {
            auto& target = router.targets[n];
            if (target.is_cold(clock_.now()) && target.wait(clock_.now()) == duration{}) {
                target.record_send(clock_.now());
                // The router may be busy before the request leaves.
                sent_[n].insert(clock_.now() + milliseconds{random_.below(90)});
            }
        }
    }

    manual_clock clock_;
    random_source random_;
    std::vector<cold_router> routers_;
    std::vector<std::multiset<time_point>> sent_; ///< Times at which requests were sent, by target.
    int last_router_ = 0;
    int steps_ = 0;
};

constexpr std::array<std::size_t, 4> fleet_sizes{1, 8, 79, 125};

// A whole failure domain is cold at once, again and again, while the fleet changes.
TEST(cold_fleet, no_target_gets_more_than_its_bound_whatever_happens_to_the_fleet)
{
    for (const auto routers : fleet_sizes) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            SCOPED_TRACE(std::to_string(routers) + " routers, seed " + std::to_string(seed));
            cold_fleet it{routers, seed};
            for (int n = 0; n < 12; ++n) {
                it.turn_cold();
                it.run(milliseconds{1'000 + 700 * n % 3'000}, 0.02);
            }
            EXPECT_LE(it.most_in_a_second(), bound);
        }
    }
}

TEST(cold_fleet, cold_targets_get_most_of_what_they_tolerate)
{
    for (const std::size_t routers : {79U, 125U}) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            SCOPED_TRACE(std::to_string(routers) + " routers, seed " + std::to_string(seed));
            cold_fleet it{routers, seed};
            it.turn_cold();
            it.run(limit.time, 0);
            EXPECT_GE(it.sent_per_target(), 0.6 * bound * 3);
            EXPECT_LE(it.most_in_a_second(), bound);
        }
    }
}

TEST(cold_share, shares_of_all_routers_add_up)
{
    for (const std::size_t sends : {1U, 7U, 19U, 300U}) {
        for (const std::size_t routers : {8U, 79U, 125U}) {
            std::size_t sum = 0;
            for (std::size_t rank = 0; rank < routers; ++rank) {
                sum += cold_share(sends, rank, routers);
            }
            EXPECT_EQ(sum, sends);
        }
    }
}

TEST(cold_rule, exists_only_with_a_rate_and_a_time)
{
    EXPECT_FALSE(make_cold_rule({seconds{3}, request_rate{0}}, overage, slack));
    EXPECT_FALSE(make_cold_rule({duration{}, request_rate{11}}, overage, slack));
    const auto small = make_cold_rule({seconds{3}, request_rate{0.1}}, 1, 0);
    ASSERT_TRUE(small);
    EXPECT_EQ(small->sends, 1U);
    EXPECT_EQ(small->window, seconds{10});
}

/// A target that one of few routers knows, with its share.
struct cold_start_fixture : testing::Test {
    cold_start_fixture()
    {
        target.set_rule(make_cold_rule(limit, overage, slack), clock.now());
        cold_sender_view alone{{router_key{1}, {}}, {}};
        target.set_senders(std::make_shared<const cold_sender_view>(alone), clock.now());
    }

    manual_clock clock;
    cold_start target{0x1234};
};

TEST_F(cold_start_fixture, a_target_is_cold_for_the_configured_time_after_its_start)
{
    EXPECT_FALSE(target.is_cold(clock.now()));
    target.expect(clock.now(), clock.now());
    EXPECT_EQ(target.left(clock.now()), limit.time);
    clock.advance(limit.time);
    EXPECT_FALSE(target.is_cold(clock.now()));
    EXPECT_EQ(target.wait(clock.now()), duration{});
}

TEST_F(cold_start_fixture, a_statement_of_the_target_replaces_what_was_expected)
{
    target.expect(clock.now() + seconds{9}, clock.now());
    target.record_statement(milliseconds{800}, clock.now());
    EXPECT_EQ(target.left(clock.now()), milliseconds{800});
    target.expect(clock.now(), clock.now());
    target.record_statement(duration{}, clock.now());
    EXPECT_FALSE(target.is_cold(clock.now()));
}

TEST_F(cold_start_fixture, without_a_rule_no_target_is_cold)
{
    target.set_rule(std::nullopt, clock.now());
    target.record_statement(seconds{3}, clock.now());
    EXPECT_FALSE(target.is_cold(clock.now()));
}

TEST_F(cold_start_fixture, a_router_that_has_just_started_sends_nothing_to_cold_targets)
{
    cold_senders senders;
    senders.add_registered({router_key{1}, {}}, clock.now());
    EXPECT_TRUE(senders.start(clock.now()));
    EXPECT_FALSE(senders.start(clock.now()));
    target.set_senders(std::make_shared<const cold_sender_view>(senders.view()), clock.now());
    target.record_statement(seconds{9}, clock.now());
    EXPECT_EQ(target.wait(clock.now()), cold_senders::settling_time);
}

// A router that is cut off cannot tell whether the others still send.
TEST(cold_senders, lost_routers_keep_their_shares_for_some_time)
{
    manual_clock clock;
    cold_senders senders;
    router_fleet live{router_key{1}, {router_key{2}, router_key{3}}};
    senders.set_live(live, clock.now());
    live.others.clear();
    senders.set_live(live, clock.now());
    EXPECT_EQ(senders.view().fleet.others.size(), 2U);
    clock.advance(cold_senders::lost_lifetime);
    EXPECT_FALSE(senders.remove_expired(clock.now()));
    clock.advance(duration{1});
    EXPECT_TRUE(senders.remove_expired(clock.now()));
    EXPECT_TRUE(senders.view().fleet.others.empty());
}

} // namespace
} // namespace endivelatch

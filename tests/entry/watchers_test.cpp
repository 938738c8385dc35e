#include "endivelatch/entry/watchers.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

std::vector<member> make_fleet(int routers)
{
    std::vector<member> fleet;
    for (int n = 1; n <= routers; ++n) {
        member router;
        router.id = router_id{"r" + std::to_string(n)};
        fleet.push_back(router);
    }
    return fleet;
}

std::set<router_id> ids(const std::vector<member>& members)
{
    std::set<router_id> result;
    for (const auto& router : members) {
        result.insert(router.id);
    }
    return result;
}

TEST(watchers, all_routers_of_a_small_fleet_watch)
{
    EXPECT_EQ(choose_watchers(make_fleet(1)).size(), 1U);
    EXPECT_EQ(choose_watchers(make_fleet(8)).size(), 8U);
}

TEST(watchers, number_grows_slowly_with_the_fleet)
{
    EXPECT_EQ(choose_watchers(make_fleet(9)).size(), 4U);
    EXPECT_EQ(choose_watchers(make_fleet(160)).size(), 5U);
    EXPECT_EQ(choose_watchers(make_fleet(1'700)).size(), 53U);
}

TEST(watchers, are_in_every_failure_domain)
{
    auto fleet = make_fleet(90);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        fleet[n].domain = domain_id{"domain-" + std::to_string(n % 4)};
    }
    std::set<domain_id> domains;
    const auto chosen = choose_watchers(fleet);
    for (const auto& router : chosen) {
        domains.insert(router.domain);
    }
    EXPECT_EQ(chosen.size(), 4U);
    EXPECT_EQ(domains.size(), 4U);
}

TEST(watchers, a_lost_watcher_leaves_the_others_unchanged)
{
    auto fleet = make_fleet(90);
    const auto before = ids(choose_watchers(fleet));
    std::erase_if(fleet, [&](const auto& router) { return router.id == *before.begin(); });
    const auto after = ids(choose_watchers(fleet));
    std::size_t kept = 0;
    for (const auto& id : before) {
        kept += after.count(id);
    }
    EXPECT_EQ(kept, before.size() - 1);
}

// The load pattern: the store is down for 8 s before 125 routers. Each call is billed.
/// Returns the routers of a fleet by their task in reading the store.
std::map<reader_role, std::set<router_id>> by_role(const std::vector<member>& fleet)
{
    std::map<reader_role, std::set<router_id>> roles;
    for (const auto& router : fleet) {
        roles[plan_reading(fleet, router.id).role].insert(router.id);
    }
    return roles;
}

TEST(reader_plan, all_routers_of_a_small_fleet_watch)
{
    EXPECT_EQ(by_role(make_fleet(8))[reader_role::watcher].size(), 8U);
}

TEST(reader_plan, one_router_leads_and_the_other_watchers_pass_its_copy_on)
{
    for (const int size : {9, 12, 85, 295}) {
        const auto fleet = make_fleet(size);
        auto roles = by_role(fleet);
        const auto watchers = choose_watchers(fleet);
        ASSERT_EQ(roles[reader_role::lead].size(), 1U) << size;
        auto all = roles[reader_role::relay];
        all.insert(*roles[reader_role::lead].begin());
        EXPECT_EQ(all, ids(watchers)) << size;
        EXPECT_EQ(roles[reader_role::standby].size(), watchers.size()) << size;
        EXPECT_EQ(roles[reader_role::follower].size(), fleet.size() - 2 * watchers.size()) << size;
    }
}

TEST(reader_plan, routers_follow_the_lead_or_the_watchers)
{
    const auto fleet = make_fleet(30);
    auto roles = by_role(fleet);
    const auto relay = plan_reading(fleet, *roles[reader_role::relay].begin());
    EXPECT_EQ(ids(relay.sources), roles[reader_role::lead]);
    const auto standby = plan_reading(fleet, *roles[reader_role::standby].begin());
    EXPECT_EQ(ids(standby.sources), ids(choose_watchers(fleet)));
    const auto follower = plan_reading(fleet, *roles[reader_role::follower].begin());
    EXPECT_EQ(ids(follower.sources), ids(choose_watchers(fleet)));
    EXPECT_EQ(ids(follower.fallbacks), roles[reader_role::standby]);
}

// Each step leaves time for a call, and the last one for reading the store, within the 2 s in which
// all routers must know a change.
TEST(confirmation_limits, leave_time_for_each_step)
{
    const auto& limits = default_confirmation_limits;
    EXPECT_LT(limits.interval, limits.relay);
    EXPECT_LT(limits.relay, limits.standby);
    EXPECT_LT(limits.standby, limits.follower);
    EXPECT_LT(limits.follower, limits.last);
    EXPECT_LT(limits.last, std::chrono::seconds{2});
    EXPECT_LT(evacuation_confirmation_limits.last, std::chrono::seconds{5});
}

TEST(store_probes, the_followers_of_a_fleet_together_call_seldom_but_soon)
{
    for (const std::size_t routers : {12U, 79U, 125U, 295U}) {
        std::vector<store_probes> followers;
        for (std::uint64_t n = 0; n < routers; ++n) {
            followers.emplace_back(n);
        }
        const auto retry_interval = std::chrono::milliseconds{100};
        manual_clock clock;
        const auto lost_at = clock.now();
        int calls = 0;
        std::optional<time_point> first;
        for (int step = 0; step < 80; ++step) {
            for (auto& it : followers) {
                const bool is_due = it.is_due(routers, clock.now());
                calls += is_due ? 1 : 0;
                first = is_due && !first ? clock.now() : first;
            }
            clock.advance(retry_interval);
        }
        EXPECT_LE(calls, 8 * follower_probes_per_second * 1.5) << routers;
        EXPECT_GE(calls, 8 * follower_probes_per_second * 0.5) << routers;
        ASSERT_TRUE(first);
        EXPECT_LE(*first - lost_at, std::chrono::seconds{1}) << routers;
    }
}

// Only the watchers have lost the store, so this router takes their place.
TEST(store_probes, a_follower_that_reaches_the_store_goes_on_calling_it)
{
    store_probes probes{1};
    manual_clock clock;
    while (!probes.is_due(79, clock.now())) {
        clock.advance(std::chrono::milliseconds{100});
    }
    EXPECT_FALSE(probes.is_due(79, clock.now()));
    probes.record_call(true);
    EXPECT_TRUE(probes.is_due(79, clock.now()));
    probes.record_call(false);
    EXPECT_FALSE(probes.is_due(79, clock.now()));
}

} // namespace
} // namespace endivelatch

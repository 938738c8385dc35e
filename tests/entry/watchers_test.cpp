#include "endivelatch/entry/watchers.hpp"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

std::vector<member> make_fleet(int routers)
{
    std::vector<member> all;
    for (int n = 1; n <= routers; ++n) {
        member it;
        it.id = router_id{"r" + std::to_string(n)};
        all.push_back(it);
    }
    return all;
}

std::set<router_id> ids(const std::vector<member>& members)
{
    std::set<router_id> all;
    for (const auto& it : members) {
        all.insert(it.id);
    }
    return all;
}

TEST(watchers, small_fleets_all_watch)
{
    EXPECT_EQ(choose_watchers(make_fleet(1)).size(), 1U);
    EXPECT_EQ(choose_watchers(make_fleet(8)).size(), 8U);
}

TEST(watchers, grow_slowly_with_the_fleet)
{
    EXPECT_EQ(choose_watchers(make_fleet(9)).size(), 4U);
    EXPECT_EQ(choose_watchers(make_fleet(90)).size(), 5U);
    EXPECT_EQ(choose_watchers(make_fleet(1'700)).size(), 106U);
}

TEST(watchers, lie_in_every_failure_domain)
{
    auto fleet = make_fleet(90);
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        fleet[n].domain = domain_id{"domain-" + std::to_string(n % 4)};
    }
    std::set<domain_id> domains;
    const auto chosen = choose_watchers(fleet);
    for (const auto& it : chosen) {
        domains.insert(it.domain);
    }
    EXPECT_EQ(chosen.size(), 4U);
    EXPECT_EQ(domains.size(), 4U);
}

TEST(watchers, a_lost_router_moves_one_watcher_at_most)
{
    auto fleet = make_fleet(90);
    const auto before = ids(choose_watchers(fleet));
    std::erase_if(fleet, [&](const auto& it) { return it.id == *before.begin(); });
    const auto after = ids(choose_watchers(fleet));
    std::size_t kept = 0;
    for (const auto& it : before) {
        kept += after.count(it);
    }
    EXPECT_EQ(kept, before.size() - 1);
}

} // namespace
} // namespace endivelatch

#include "endivelatch/membership/limit_table.hpp"

#include "endivelatch/base/hash.hpp"

#include <set>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr target_key target{1};
constexpr request_rate limit{2.5};
constexpr std::size_t many = 99;

TEST(limit_table, keeps_the_newest_statement)
{
    manual_clock clock;
    limit_table table;
    EXPECT_TRUE(table.update(target, limit, clock.now()));
    EXPECT_FALSE(table.update(target, std::nullopt, clock.now() - seconds{1}));
    EXPECT_TRUE(table.update(target, std::nullopt, clock.now() + seconds{1}));
    clock.advance(seconds{2});
    const auto reports = table.next_reports(many, clock.now());
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front(), (limit_report{target, std::nullopt, seconds{1}}));
}

TEST(limit_table, what_the_target_stated_itself_counts_at_once)
{
    manual_clock clock;
    limit_table table;
    table.update(target, limit, clock.now());
    clock.advance(milliseconds{1});
    table.record(target, std::nullopt, clock.now());
    EXPECT_FALSE(table.next_reports(many, clock.now()).front().limit);
}

// A former limit that circulates between routers looks newer with each hop.
TEST(limit_table, a_former_limit_does_not_replace_its_end)
{
    manual_clock clock;
    limit_table table;
    table.update(target, limit, clock.now());
    table.record(target, std::nullopt, clock.now() + milliseconds{10});
    EXPECT_FALSE(table.update(target, limit, clock.now() + milliseconds{50}));
}

TEST(limit_table, shares_each_report_in_turn)
{
    manual_clock clock;
    limit_table table;
    for (std::uint32_t n = 0; n < 40; ++n) {
        table.record(target_key{n}, limit, clock.now());
    }
    constexpr std::size_t packet = 10;
    for (std::uint32_t round = 0; round < limit_table::min_shares; ++round) {
        std::set<target_key> seen;
        for (int n = 0; n < 4; ++n) {
            for (const auto& it : table.next_reports(packet, clock.now())) {
                EXPECT_TRUE(seen.insert(it.target).second);
            }
        }
        EXPECT_EQ(seen.size(), 40U);
    }
    EXPECT_TRUE(table.next_reports(packet, clock.now()).empty());
}

TEST(limit_table, shares_changes_first)
{
    manual_clock clock;
    limit_table table;
    table.record(target, limit, clock.now());
    for (std::uint32_t n = 0; n < limit_table::min_shares; ++n) {
        table.next_reports(many, clock.now());
    }
    clock.advance(seconds{2});
    table.record(target_key{2}, std::nullopt, clock.now());
    const auto reports = table.next_reports(1, clock.now());
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports.front().target, target_key{2});
}

// Load pattern: half of 240 targets state limits, which end at the same time. Routers that learned
// it late kept to the limits and overloaded the other targets.
TEST(limit_table, the_end_of_many_limits_reaches_all_routers_in_time)
{
    constexpr std::size_t routers = 295;
    constexpr std::uint32_t targets = 120;
    manual_clock clock;
    random_source random{3};
    std::vector<limit_table> fleet(routers);
    for (auto& it : fleet) {
        for (std::uint32_t n = 0; n < targets; ++n) {
            it.update(target_key{n}, limit, clock.now());
        }
    }
    std::vector<std::set<target_key>> ended(routers);
    const auto exchange = [&] {
        for (auto& from : fleet) {
            const auto reports =
                from.next_reports(limit_table::max_reports_per_packet, clock.now());
            for (int receiver = 0; receiver < 2; ++receiver) {
                const auto to = random.below(routers);
                for (const auto& it : reports) {
                    fleet[to].update(it.target, it.limit, clock.now() - it.age);
                    if (!it.limit) {
                        ended[to].insert(it.target);
                    }
                }
            }
        }
        clock.advance(milliseconds{200});
    };
    for (int n = 0; n < 30; ++n) {
        exchange();
    }
    for (std::uint32_t n = 0; n < targets; ++n) {
        const auto sender = random.below(routers);
        fleet[sender].record(target_key{n}, std::nullopt, clock.now());
        ended[sender].insert(target_key{n});
    }
    constexpr int exchanges = 13; // 2.6 s
    for (int n = 0; n < exchanges; ++n) {
        exchange();
    }
    std::size_t unaware = 0;
    for (const auto& it : ended) {
        unaware += targets - it.size();
    }
    EXPECT_LT(unaware, routers * targets / 100);
}

TEST(limit_table, expires_reports)
{
    manual_clock clock;
    limit_table table;
    table.record(target, limit, clock.now());
    table.record(target_key{2}, std::nullopt, clock.now());
    clock.advance(limit_table::lifted_lifetime + seconds{1});
    EXPECT_EQ(table.next_reports(many, clock.now()).size(), 1U);
    clock.advance(limit_table::lifetime);
    table.next_reports(many, clock.now());
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace endivelatch

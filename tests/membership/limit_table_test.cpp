#include "endivelatch/membership/limit_table.hpp"

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
    std::set<target_key> seen;
    for (int packet = 0; packet < 3; ++packet) {
        for (const auto& it : table.next_reports(16, clock.now())) {
            EXPECT_TRUE(seen.insert(it.target).second);
        }
    }
    EXPECT_EQ(seen.size(), 40U);
    EXPECT_TRUE(table.next_reports(16, clock.now()).empty());
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

#include "endivelatch/membership/load_table.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr target_key first{1};
constexpr target_key second{2};
constexpr target_key third{3};

TEST(load_table, keeps_the_newest_report_of_a_target)
{
    manual_clock clock;
    load_table table;
    EXPECT_TRUE(table.update(first, 7, clock.now()));
    EXPECT_FALSE(table.update(first, 3, clock.now() - milliseconds{1}));
    EXPECT_FALSE(table.update(first, 3, clock.now())); // A duplicate.
    EXPECT_TRUE(table.update(first, 4, clock.now() + milliseconds{1}));
    clock.advance(milliseconds{1});
    ASSERT_EQ(table.newest(9, clock.now()).size(), 1U);
    EXPECT_EQ(table.newest(9, clock.now()).front().in_flight, 4U);
}

TEST(load_table, returns_the_newest_reports_with_their_age)
{
    manual_clock clock;
    load_table table;
    table.update(second, 2, clock.now() - milliseconds{200});
    table.update(first, 1, clock.now() - milliseconds{300});
    table.update(third, 3, clock.now() - milliseconds{100});
    const auto newest = table.newest(2, clock.now());
    ASSERT_EQ(newest.size(), 2U);
    EXPECT_EQ(newest[0], (load_report{third, 3, milliseconds{100}}));
    EXPECT_EQ(newest[1], (load_report{second, 2, milliseconds{200}}));
}

TEST(load_table, passes_slowdowns_on)
{
    manual_clock clock;
    load_table table;
    table.update(first, 1, clock.now());
    EXPECT_FALSE(table.has_slowdowns());
    table.update(second, 2, clock.now(), 2.5);
    EXPECT_TRUE(table.has_slowdowns());
    for (const auto& it : table.newest(9, clock.now())) {
        EXPECT_EQ(it.slowdown, it.target == second ? std::optional{2.5} : std::nullopt);
    }
}

TEST(load_table, removes_expired_reports)
{
    manual_clock clock;
    load_table table;
    table.update(first, 1, clock.now());
    clock.advance(load_table::lifetime + milliseconds{1});
    EXPECT_TRUE(table.newest(9, clock.now()).empty());
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace endivelatch

#include "endivelatch/membership/failure_table.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;

constexpr target_key target{1};
constexpr target_key other_target{2};
constexpr router_key reporter{10};
constexpr std::size_t many = 99;

TEST(failure_table, keeps_the_newest_failure_of_each_reporter)
{
    manual_clock clock;
    failure_table table;
    EXPECT_TRUE(table.update(target, reporter, clock.now()));
    EXPECT_FALSE(table.update(target, reporter, clock.now() - milliseconds{500}));
    EXPECT_TRUE(table.update(target, reporter, clock.now() + milliseconds{500}));
    EXPECT_TRUE(table.update(target, router_key{11}, clock.now()));
    clock.advance(milliseconds{500});
    const auto newest = table.newest(many, clock.now());
    ASSERT_EQ(newest.size(), 2U);
    EXPECT_EQ(newest[0], (failure_report{target, reporter, duration{}}));
    EXPECT_EQ(newest[1], (failure_report{target, router_key{11}, milliseconds{500}}));
}

/// Each hop makes a report look newer by its transit time. Copies that circulate between routers
/// must expire nevertheless.
TEST(failure_table, copies_that_circulate_expire)
{
    manual_clock clock;
    failure_table first;
    failure_table second;
    first.update(target, reporter, clock.now());
    const auto ends_at = clock.now() + failure_table::lifetime + milliseconds{300};
    while (clock.now() < ends_at) {
        for (const auto& [from, to] : {std::pair{&first, &second}, std::pair{&second, &first}}) {
            const auto sent = from->newest(many, clock.now());
            clock.advance(milliseconds{5}); // Transit.
            for (const auto& it : sent) {
                to->update(it.target, it.reporter, clock.now() - it.age);
            }
        }
        clock.advance(milliseconds{20});
    }
    EXPECT_TRUE(first.newest(many, clock.now()).empty());
    EXPECT_TRUE(second.newest(many, clock.now()).empty());
    EXPECT_EQ(first.size(), 0U);
}

TEST(failure_table, keeps_the_newest_reporters_of_a_target)
{
    manual_clock clock;
    failure_table table;
    for (std::uint32_t n = 0; n < 2 * failure_table::max_reporters; ++n) {
        EXPECT_TRUE(table.update(target, router_key{n}, clock.now()));
        clock.advance(milliseconds{1});
    }
    EXPECT_FALSE(table.update(target, router_key{many}, clock.now() - milliseconds{500}));
    const auto newest = table.newest(many, clock.now());
    ASSERT_EQ(newest.size(), failure_table::max_reporters);
    EXPECT_EQ(newest.front().reporter, router_key{2 * failure_table::max_reporters - 1});
}

TEST(failure_table, returns_the_newest_failures_of_all_targets)
{
    manual_clock clock;
    failure_table table;
    table.update(target, reporter, clock.now() - milliseconds{300});
    table.update(other_target, reporter, clock.now() - milliseconds{100});
    const auto newest = table.newest(1, clock.now());
    ASSERT_EQ(newest.size(), 1U);
    EXPECT_EQ(newest.front().target, other_target);
}

} // namespace
} // namespace endivelatch

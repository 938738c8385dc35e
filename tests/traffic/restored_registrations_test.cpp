#include "router_fixture.hpp"

#include "endivelatch/traffic/target_table.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::seconds;

/// Registrations before and after the platform lost changes.
struct restored_registrations : testing::Test {
    registered_target target(std::uint64_t start, std::uint64_t sequence, bool is_leaving = false)
    {
        auto it = make_target(1);
        it.started = incarnation{start};
        it.sequence = sequence;
        it.is_leaving = is_leaving;
        return it;
    }

    /// Replaces the registrations as after a loss of changes at this moment.
    std::size_t restore(const std::vector<registered_target>& all)
    {
        clock.advance(seconds{1});
        return table.replace(all, clock.now(), clock.now());
    }

    manual_clock clock;
    target_table table;
};

// A target whose registration had been removed got requests again when the store came back from a
// copy that still had it.
TEST_F(restored_registrations, a_target_that_had_left_does_not_come_back)
{
    table.replace({target(100, 5)}, clock.now());
    table.replace({}, clock.now());
    EXPECT_EQ(restore({target(100, 9)}), 1U);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(restore({target(200, 1)}), 0U); // Started anew.
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(restored_registrations, a_target_that_expires_and_registers_after_the_loss_is_used)
{
    table.replace({target(100, 5)}, clock.now());
    const auto restored_at = clock.now();
    table.replace({}, clock.now(), restored_at);
    EXPECT_EQ(table.replace({target(100, 9)}, clock.now(), restored_at), 0U);
    EXPECT_EQ(table.size(), 1U);
}

TEST_F(restored_registrations, a_leaving_target_does_not_become_ready)
{
    const auto leaving = target(100, 5, true);
    table.replace({leaving}, clock.now());
    EXPECT_EQ(restore({target(100, 3)}), 1U);
    EXPECT_TRUE(table.ready(leaving.pool).empty());
    EXPECT_EQ(table.registered(leaving.pool).size(), 1U);
    EXPECT_EQ(restore({target(200, 1)}), 0U);
    EXPECT_EQ(table.ready(leaving.pool).size(), 1U);
}

TEST_F(restored_registrations, an_earlier_start_does_not_replace_a_later_one)
{
    table.replace({target(200, 1)}, clock.now());
    EXPECT_EQ(restore({target(100, 9)}), 1U);
    EXPECT_EQ(table.find(target_id{make_target(1).id})->registration().started, incarnation{200});
}

TEST_F(restored_registrations, without_a_loss_the_platform_is_believed)
{
    table.replace({target(200, 9, true)}, clock.now());
    EXPECT_EQ(table.replace({target(100, 1)}, clock.now()), 0U);
    EXPECT_EQ(table.ready(make_target(1).pool).size(), 1U);
}

} // namespace
} // namespace endivelatch

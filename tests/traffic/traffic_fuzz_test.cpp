#include "traffic_world.hpp"

#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr int steps = 400;

/// Schedules to play; FUZZ_SCHEDULES asks for more by hand.
int schedules()
{
    const auto* text = std::getenv("FUZZ_SCHEDULES");
    return text == nullptr ? 400 : std::atoi(text);
}

TEST(traffic_fuzz, many_schedules_keep_every_rule)
{
    int ended = 0;
    for (int seed = 1; seed <= schedules(); ++seed) {
        traffic_world world{static_cast<std::uint64_t>(seed)};
        world.run(steps);
        ended += world.ended();
        ASSERT_TRUE(world.faults().empty()) << "seed " << seed << ": " << world.faults().front();
    }
    EXPECT_GT(ended, schedules() * steps / 10);
}

/// Returns whether the oracle notices the missing protection within some schedules, by the rule.
bool notices(missing_protection missing, const std::string& rule)
{
    for (int seed = 1; seed <= 200; ++seed) {
        traffic_world world{static_cast<std::uint64_t>(seed), missing};
        world.run(steps);
        for (const auto& it : world.faults()) {
            if (it.starts_with(rule + ":")) {
                return true;
            }
        }
    }
    return false;
}

TEST(traffic_fuzz, the_oracle_notices_each_missing_protection)
{
    EXPECT_TRUE(notices(missing_protection::stage, "once"));
    EXPECT_TRUE(notices(missing_protection::statement, "not run"));
    EXPECT_TRUE(notices(missing_protection::signature, "whole"));
    EXPECT_TRUE(notices(missing_protection::identity, "whole"));
    EXPECT_TRUE(notices(missing_protection::ending, "whole"));
    EXPECT_TRUE(notices(missing_protection::events, "whole"));
    EXPECT_TRUE(notices(missing_protection::drain, "drain"));
}

} // namespace
} // namespace endivelatch

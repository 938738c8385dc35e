#include "traffic_simulation.hpp"

#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr int steps = 400;

/// Returns the number of schedules to run. FUZZ_SCHEDULES overrides it for manual runs.
int schedule_count()
{
    const auto* text = std::getenv("FUZZ_SCHEDULES");
    return text == nullptr ? 400 : std::atoi(text);
}

TEST(traffic_fuzz, many_schedules_keep_every_rule)
{
    int ended = 0;
    for (int seed = 1; seed <= schedule_count(); ++seed) {
        traffic_simulation simulation{static_cast<std::uint64_t>(seed)};
        simulation.run(steps);
        ended += simulation.ended();
        ASSERT_TRUE(simulation.violations().empty())
            << "seed " << seed << ": " << simulation.violations().front();
    }
    EXPECT_GT(ended, schedule_count() * steps / 10);
}

/// Returns whether the oracle reports a violation of the given rule within 200 schedules.
bool detects(injected_defect defect, const std::string& rule)
{
    for (int seed = 1; seed <= 200; ++seed) {
        traffic_simulation simulation{static_cast<std::uint64_t>(seed), defect};
        simulation.run(steps);
        for (const auto& it : simulation.violations()) {
            if (it.starts_with(rule + ":")) {
                return true;
            }
        }
    }
    return false;
}

TEST(traffic_fuzz, the_oracle_detects_each_injected_defect)
{
    EXPECT_TRUE(detects(injected_defect::stage, "once"));
    EXPECT_TRUE(detects(injected_defect::statement, "not run"));
    EXPECT_TRUE(detects(injected_defect::signature, "whole"));
    EXPECT_TRUE(detects(injected_defect::identity, "whole"));
    EXPECT_TRUE(detects(injected_defect::ending, "whole"));
    EXPECT_TRUE(detects(injected_defect::events, "whole"));
    EXPECT_TRUE(detects(injected_defect::drain, "drain"));
    EXPECT_TRUE(detects(injected_defect::evacuate, "evacuate"));
}

} // namespace
} // namespace endivelatch

#include "environment_number.hpp"
#include "soak_run.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

#include <gtest/gtest.h>

/// Other seeds: SOAK_FIRST=100 SOAK_COUNT=50 SOAK_SECONDS=8 build/tests/soak/test_soak
namespace endivelatch::soak {
namespace {

void run_seed(std::uint64_t seed)
{
    soak_run run{seed};
    run.execute(std::chrono::seconds{environment_number("SOAK_SECONDS", 6)});
    const auto violations = run.violations();
    std::cout << "soak seed=" << seed << " requests=" << run.requests()
              << " violations=" << violations.size();
    for (const auto& [name, times] : run.faults()) {
        std::cout << ' ' << name << '=' << times;
    }
    std::cout << std::endl;
    for (const auto& it : violations) {
        ADD_FAILURE() << "seed " << seed << ": " << it;
    }
}

TEST(soak, has_no_violations_under_overlapping_faults)
{
    const auto first = environment_number("SOAK_FIRST", 2);
    const auto count = environment_number("SOAK_COUNT", 1);
    for (auto seed = first; seed < first + count; ++seed) {
        run_seed(seed);
    }
}

/// Seeds that failed before, each with the cause.
TEST(soak, has_no_violations_with_seeds_that_failed_before)
{
    if (std::getenv("SOAK_FIRST") != nullptr) {
        GTEST_SKIP() << "SOAK_FIRST selects other seeds";
    }
    run_seed(1);   // The proxy reordered bytes when its delay was reduced.
    run_seed(102); // SIGHUP ended a router that had not yet installed its signal handlers.
    run_seed(113); // The proxy reordered bytes that were due at the same time.
    run_seed(242); // The proxy let bytes overtake others that were due but not yet written.
    run_seed(118); // A router was started with a settings file that the test had made invalid.
}

} // namespace
} // namespace endivelatch::soak

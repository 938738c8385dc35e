#include "ledger/schedule_count.hpp"
#include "mirror/mirror_simulation.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace endivelatch {
namespace {

constexpr std::size_t steps_per_schedule = 400;
constexpr std::uint64_t default_schedules = 500;
constexpr std::uint64_t schedules_per_fault = 100;

mirror_report run_schedules(std::string_view name, copy_fault fault, std::uint64_t count)
{
    mirror_report total;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const auto report = mirror_simulation{seed, fault}.run(steps_per_schedule);
        if (fault == copy_fault::none && report.incomplete + report.diverged > 0) {
            std::cout << "violation seed=" << seed << " incomplete=" << report.incomplete
                      << " diverged=" << report.diverged << "\n";
        }
        total += report;
    }
    std::cout << "case=" << name << " schedules=" << count << " steps=" << total.steps
              << " changes=" << total.changes << " copies=" << total.copies
              << " whole_copies=" << total.whole_copies << " losses=" << total.losses
              << " restarts=" << total.restarts << " restores=" << total.restores
              << " incomplete=" << total.incomplete << " diverged=" << total.diverged << "\n";
    return total;
}

TEST(mirror_fuzz_test, copies_hold_every_change_up_to_their_revision_over_many_schedules)
{
    const auto total =
        run_schedules("protected", copy_fault::none, schedule_count(default_schedules));
    EXPECT_EQ(total.incomplete, 0U);
    EXPECT_EQ(total.diverged, 0U);
    EXPECT_GT(total.copies, total.whole_copies);
    EXPECT_GT(total.whole_copies, 0U);
    EXPECT_GT(total.restores, 0U);
}

TEST(mirror_fuzz_test, detects_each_fault_of_copies)
{
    for (const auto fault : {copy_fault::drops_removals, copy_fault::keeps_removed_objects,
                             copy_fault::states_later_revision, copy_fault::states_later_era}) {
        EXPECT_GT(run_schedules("fault", fault, schedules_per_fault).incomplete, 0U);
    }
}

} // namespace
} // namespace endivelatch

#include "configuration/configuration_simulation.hpp"
#include "ledger/schedule_count.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace endivelatch {

namespace {

constexpr std::size_t schedule_length = 60;
constexpr std::uint64_t default_schedules = 300;
constexpr std::uint64_t schedules_per_mutation = 100;

configuration_report run_schedules(std::string_view name,
                                   const configuration_simulation_settings& settings,
                                   std::uint64_t count)
{
    configuration_report total;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const auto report = run_configuration_schedule(seed, settings, schedule_length);
        if (report.violations() > 0) {
            std::cout << "violation seed=" << seed << " reversions=" << report.reversions
                      << " missing=" << report.missing << "\n";
        }
        total.changes += report.changes;
        total.faults += report.faults;
        total.accepted += report.accepted;
        total.conflicts += report.conflicts;
        total.refused += report.refused;
        total.undecided += report.undecided;
        total.reversions += report.reversions;
        total.withdrawn += report.withdrawn;
        total.missing += report.missing;
        total.lost_updates += report.lost_updates;
        total.false_refusals += report.false_refusals;
        total.false_accepts += report.false_accepts;
    }
    std::cout << "case=" << name << " schedules=" << count << " changes=" << total.changes
              << " faults=" << total.faults << " accepted=" << total.accepted
              << " conflicts=" << total.conflicts << " refused=" << total.refused
              << " undecided=" << total.undecided << " reversions=" << total.reversions
              << " withdrawn=" << total.withdrawn << " missing=" << total.missing
              << " lost_updates=" << total.lost_updates
              << " false_refusals=" << total.false_refusals
              << " false_accepts=" << total.false_accepts << "\n";
    return total;
}

TEST(configuration_fuzz_test, detects_each_disabled_protection)
{
    configuration_simulation_settings accept_older;
    accept_older.store.reject_older = false;
    EXPECT_GT(run_schedules("stale_read_taken", accept_older, schedules_per_mutation).reversions,
              0U);

    configuration_simulation_settings without_version_check;
    without_version_check.ignore_versions = true;
    EXPECT_GT(run_schedules("no_version_check", without_version_check, schedules_per_mutation)
                  .lost_updates,
              0U);

    configuration_simulation_settings without_resolution;
    without_resolution.administration.resolve_lost_writes = false;
    EXPECT_GT(run_schedules("no_look_after_lost_answer", without_resolution, schedules_per_mutation)
                  .false_accepts,
              0U);
}

TEST(configuration_fuzz_test, holds_over_many_schedules)
{
    const auto total = run_schedules("fixed_seeds", {}, schedule_count(default_schedules));
    EXPECT_EQ(total.violations(), 0U);
    EXPECT_GT(total.accepted, total.changes / 10);
    EXPECT_GT(total.conflicts, 0U);
}

} // namespace

} // namespace endivelatch

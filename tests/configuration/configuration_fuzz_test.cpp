#include "configuration/configuration_simulation.hpp"
#include "ledger/schedule_count.hpp"

#include <gtest/gtest.h>
#include <iostream>

namespace endivelatch {

namespace {

constexpr std::size_t schedule_length = 60;
constexpr std::uint64_t schedules = 300;
constexpr std::uint64_t mutation_schedules = 100;

configuration_report run_many(std::string_view name,
                              const configuration_simulation_settings& settings,
                              std::uint64_t count)
{
    configuration_report out;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const auto it = run_configuration_schedule(seed, settings, schedule_length);
        if (it.violations() > 0) {
            std::cout << "violation seed=" << seed << " reversions=" << it.reversions
                      << " missing=" << it.missing << "\n";
        }
        out.changes += it.changes;
        out.faults += it.faults;
        out.accepted += it.accepted;
        out.conflicts += it.conflicts;
        out.refused += it.refused;
        out.undecided += it.undecided;
        out.reversions += it.reversions;
        out.withdrawn += it.withdrawn;
        out.missing += it.missing;
        out.lost_updates += it.lost_updates;
        out.false_refusals += it.false_refusals;
        out.false_accepts += it.false_accepts;
    }
    std::cout << "case=" << name << " schedules=" << count << " changes=" << out.changes
              << " faults=" << out.faults << " accepted=" << out.accepted
              << " conflicts=" << out.conflicts << " refused=" << out.refused
              << " undecided=" << out.undecided << " reversions=" << out.reversions
              << " withdrawn=" << out.withdrawn << " missing=" << out.missing
              << " lost_updates=" << out.lost_updates << " false_refusals=" << out.false_refusals
              << " false_accepts=" << out.false_accepts << "\n";
    return out;
}

TEST(configuration_fuzz_test, sees_each_protection_that_is_removed)
{
    configuration_simulation_settings older;
    older.store.refuse_older = false;
    EXPECT_GT(run_many("stale_read_taken", older, mutation_schedules).reversions, 0U);

    configuration_simulation_settings no_versions;
    no_versions.ignore_versions = true;
    EXPECT_GT(run_many("no_version_check", no_versions, mutation_schedules).lost_updates, 0U);

    configuration_simulation_settings no_look;
    no_look.administration.settle_lost_writes = false;
    EXPECT_GT(run_many("no_look_after_lost_answer", no_look, mutation_schedules).false_accepts, 0U);
}

TEST(configuration_fuzz_test, holds_over_many_schedules)
{
    const auto total = run_many("fixed_seeds", {}, schedule_count(schedules));
    EXPECT_EQ(total.violations(), 0U);
    EXPECT_GT(total.accepted, total.changes / 10);
    EXPECT_GT(total.conflicts, 0U);
}

} // namespace

} // namespace endivelatch

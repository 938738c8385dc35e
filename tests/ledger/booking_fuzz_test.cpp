#include "ledger/booking_simulation.hpp"
#include "ledger/schedule_count.hpp"

#include <gtest/gtest.h>
#include <iostream>
#include <rapidcheck.h>

namespace endivelatch {

namespace {

constexpr std::size_t schedule_length = 60;
constexpr std::uint64_t default_schedule_count = 2000;
constexpr std::uint64_t mutation_schedule_count = 200;

void add_counts(booking_report& to, const booking_report& from)
{
    to.bookings += from.bookings;
    to.runs += from.runs;
    to.faults += from.faults;
    to.complete += from.complete;
    to.not_run += from.not_run;
    to.unknown += from.unknown;
    to.deleted += from.deleted;
    to.doubled += from.doubled;
    to.false_not_run += from.false_not_run;
    to.wrong_answers += from.wrong_answers;
    to.unanswered += from.unanswered;
    to.overdue += from.overdue;
    to.stuck += from.stuck;
}

void print(std::string_view name, const booking_report& report)
{
    std::cout << "case=" << name << " bookings=" << report.bookings << " faults=" << report.faults
              << " runs=" << report.runs << " complete=" << report.complete
              << " not_run=" << report.not_run << " unknown=" << report.unknown
              << " deleted=" << report.deleted << " doubled=" << report.doubled
              << " false_not_run=" << report.false_not_run
              << " wrong_answers=" << report.wrong_answers << " unanswered=" << report.unanswered
              << " overdue=" << report.overdue << " stuck=" << report.stuck << "\n";
}

booking_report run_many(const simulation_settings& settings, std::uint64_t first,
                        std::uint64_t count)
{
    booking_report out;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto one = run_schedule(seed, settings, random_schedule(seed, schedule_length));
        if (one.violations() > 0 && out.violations() == 0) {
            std::cout << "first violation at seed=" << seed << "\n";
        }
        add_counts(out, one);
    }
    return out;
}

TEST(booking_fuzz_test, holds_over_many_schedules)
{
    const auto total = run_many({}, 1, schedule_count(default_schedule_count));
    print("fixed_seeds", total);
    EXPECT_EQ(total.violations(), 0U);
    EXPECT_GT(total.complete, total.bookings / 4);
    EXPECT_GT(total.unknown, 0U);
}

/// Returns settings with one protection disabled.
simulation_settings without(bool ledger_protections::*protection)
{
    simulation_settings out;
    out.ledger.protections.*protection = false;
    return out;
}

/// Returns settings with which keys expire and objects are deleted within one schedule.
simulation_settings with_expiry()
{
    simulation_settings out;
    out.ledger.key_retention = std::chrono::seconds{100};
    out.ledger.record_retention = std::chrono::seconds{100};
    out.ledger.deletion_slack = std::chrono::seconds{25};
    out.ledger.max_start_within = std::chrono::seconds{10};
    out.ledger.sweep_interval = std::chrono::milliseconds{100};
    out.max_clock_error = std::chrono::seconds{5};
    return out;
}

TEST(booking_fuzz_test, expired_keys_are_refused_and_never_run_again)
{
    const auto total = run_many(with_expiry(), 1, mutation_schedule_count);
    print("expiry", total);
    EXPECT_EQ(total.violations(), 0U);
    EXPECT_GT(total.deleted, 0U);

    auto early = with_expiry();
    early.ledger.deletion_slack = -std::chrono::seconds{60};
    const auto forgotten = run_many(early, 1, mutation_schedule_count);
    print("deleted_before_refusal", forgotten);
    EXPECT_GT(forgotten.doubled, 0U);
}

TEST(booking_fuzz_test, detects_each_disabled_protection)
{
    simulation_settings no_versions;
    no_versions.ignore_versions = true;
    const auto versions = run_many(no_versions, 1, mutation_schedule_count);
    print("no_version_check", versions);
    EXPECT_GT(versions.doubled, 0U);

    const auto early =
        run_many(without(&ledger_protections::dispatch_after_commit), 1, mutation_schedule_count);
    print("dispatch_before_commit", early);
    EXPECT_GT(early.doubled + early.false_not_run, 0U);

    const auto lost =
        run_many(without(&ledger_protections::resolve_lost_writes), 1, mutation_schedule_count);
    print("no_look_after_lost_answer", lost);
    EXPECT_GT(lost.doubled, 0U);

    const auto cancel =
        run_many(without(&ledger_protections::cancel_before_not_run), 1, mutation_schedule_count);
    print("no_cancel_before_not_run", cancel);
    EXPECT_GT(cancel.stuck, 0U);

    const auto foreign =
        run_many(without(&ledger_protections::respect_foreign_start), 1, mutation_schedule_count);
    print("foreign_start_repeated", foreign);
    EXPECT_GT(foreign.doubled, 0U);
}

TEST(booking_fuzz_test, holds_over_generated_schedules)
{
    const auto step = rc::gen::apply(
        [](std::uint8_t kind, std::uint32_t a, std::uint32_t b) {
            constexpr int kinds = 9;
            return simulation_step{static_cast<simulation_step::kinds>(kind % kinds), a, b};
        },
        rc::gen::arbitrary<std::uint8_t>(), rc::gen::inRange(0U, 1'000'000U),
        rc::gen::inRange(0U, 1'000'000U));
    EXPECT_TRUE(rc::check("bookings run at most once", [&] {
        const auto seed = *rc::gen::inRange(0U, 1'000'000U);
        const auto steps = *rc::gen::container<std::vector<simulation_step>>(step);
        RC_ASSERT(run_schedule(seed, {}, steps).violations() == 0U);
    }));
}

} // namespace

} // namespace endivelatch

#include "endivelatch/traffic/machine_speed.hpp"

#include "endivelatch/base/hash.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;

constexpr double slow = 2.5;
constexpr double slow_share = 0.15;
constexpr duration change_interval = milliseconds{600};

/// Learns from reports of a target that draws its slowdown anew after each change interval.
machine_speed learn(duration mean_gap, int reports)
{
    machine_speed speed;
    random_source random{11};
    time_point now{};
    slowdown_report former;
    for (int n = 0; n < reports; ++n) {
        const auto gap = std::chrono::duration_cast<duration>(mean_gap * 2 * random.fraction());
        const bool has_changed = now.time_since_epoch() / change_interval !=
                                 (now + gap).time_since_epoch() / change_interval;
        now += gap;
        const auto drawn = random.fraction() < slow_share ? slow : 1;
        const slowdown_report last{has_changed ? drawn : former.slowdown, now};
        speed.record(former, last);
        former = last;
    }
    return speed;
}

TEST(machine_speed_test, expects_the_usual_time_without_reports)
{
    const machine_speed speed;
    EXPECT_DOUBLE_EQ(speed.expected(std::nullopt, time_point{}), 1);
    EXPECT_DOUBLE_EQ(speed.expected(slowdown_report{slow, time_point{}}, time_point{}), 1);
}

TEST(machine_speed_test, a_report_counts_less_with_its_age)
{
    const auto speed = learn(milliseconds{300}, 4'000);
    const slowdown_report report{slow, time_point{} + milliseconds{100}};
    EXPECT_NEAR(speed.mean(), 1 + (slow - 1) * slow_share, 0.1);
    EXPECT_NEAR(speed.expected(report, report.at), slow, 0.01);
    const auto later = speed.expected(report, report.at + milliseconds{300});
    EXPECT_LT(later, slow - 0.2);
    EXPECT_GT(later, speed.mean() + 0.2);
    EXPECT_NEAR(speed.expected(report, report.at + milliseconds{3'000}), speed.mean(), 0.05);
}

TEST(machine_speed_test, learns_how_long_a_speed_lasts_from_reports_at_any_interval)
{
    for (const auto gap : {milliseconds{50}, milliseconds{150}, milliseconds{300}}) {
        const auto lasts = learn(gap, 4'000).persistence();
        EXPECT_GT(lasts, milliseconds{300}) << gap.count();
        EXPECT_LT(lasts, milliseconds{900}) << gap.count();
    }
}

TEST(machine_speed_test, reports_that_say_nothing_about_the_next_one_have_no_weight)
{
    machine_speed speed;
    for (int n = 0; n < 100; ++n) {
        const bool is_slow = n % 2 == 0;
        const auto at = time_point{} + milliseconds{n * 100};
        speed.record({is_slow ? slow : 1, at}, {is_slow ? 1 : slow, at + milliseconds{100}});
    }
    EXPECT_EQ(speed.persistence(), duration{});
    const slowdown_report report{slow, time_point{}};
    EXPECT_DOUBLE_EQ(speed.expected(report, report.at), speed.mean());
}

TEST(machine_speed_test, ignores_reports_that_are_too_far_apart_or_out_of_order)
{
    machine_speed speed;
    const slowdown_report first{slow, time_point{} + milliseconds{10}};
    speed.record(first, {slow, first.at});
    speed.record(first, {slow, first.at - milliseconds{1}});
    speed.record(first, {slow, first.at + machine_speed::max_gap + milliseconds{1}});
    EXPECT_DOUBLE_EQ(speed.mean(), 1);
}

TEST(machine_speed_test, equal_reports_have_no_variance_and_a_mean)
{
    machine_speed speed;
    for (int n = 0; n < 100; ++n) {
        const auto at = time_point{} + milliseconds{n * 100};
        speed.record({1, at}, {1, at + milliseconds{100}});
    }
    EXPECT_EQ(speed.persistence(), duration{});
    EXPECT_DOUBLE_EQ(speed.expected(std::nullopt, time_point{}), 1);
}

} // namespace
} // namespace endivelatch

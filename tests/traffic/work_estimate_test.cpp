#include "endivelatch/base/hash.hpp"
#include "endivelatch/traffic/work_estimate.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;

constexpr int sample_count = 200;
/// Accepted ratio of an estimate to the true value, either way.
constexpr double accepted_ratio = 1.3;

/// Answers of an engine: a third of them waits in a queue before the prefill starts.
double estimated_rate(double tokens_per_ms)
{
    work_estimate work;
    random_source random{7};
    for (int n = 0; n < sample_count; ++n) {
        const auto tokens = static_cast<std::uint32_t>(1'500 + random.below(8'000));
        const auto wait_ms = random.below(3) == 0 ? random.fraction() * 2'000 : 0;
        const std::chrono::duration<double, std::milli> time{tokens / tokens_per_ms + wait_ms};
        work.record_prefill(tokens, std::chrono::duration_cast<duration>(time));
    }
    return work.prefill_tokens_per_ms();
}

void expect_near_ratio(double estimate, double truth)
{
    EXPECT_LT(estimate, truth * accepted_ratio);
    EXPECT_GT(estimate, truth / accepted_ratio);
}

TEST(work_estimate_test, starts_with_the_first_guess)
{
    const work_estimate work;
    EXPECT_DOUBLE_EQ(work.prefill_tokens_per_ms(), work_estimate::initial_prefill_tokens_per_ms);
    EXPECT_DOUBLE_EQ(work.service_time_ms(), work_estimate::initial_service_time_ms);
}

TEST(work_estimate_test, finds_engines_three_times_as_fast_and_as_slow_despite_waits)
{
    for (const auto ratio : {1.0 / 3, 1.0, 3.0}) {
        const auto truth = work_estimate::initial_prefill_tokens_per_ms * ratio;
        expect_near_ratio(estimated_rate(truth), truth);
    }
}

TEST(work_estimate_test, finds_services_three_times_as_fast_and_as_slow_despite_waits)
{
    for (const auto ratio : {1.0 / 3, 1.0, 3.0}) {
        const auto truth = work_estimate::initial_service_time_ms * ratio;
        work_estimate work;
        random_source random{11};
        for (int n = 0; n < sample_count; ++n) {
            const auto wait_ms = random.below(3) == 0 ? random.fraction() * 10 * truth : 0;
            const std::chrono::duration<double, std::milli> time{truth + wait_ms};
            work.record_service_time(std::chrono::duration_cast<duration>(time));
        }
        expect_near_ratio(work.service_time_ms(), truth);
    }
}

TEST(work_estimate_test, short_prompts_tell_nothing_of_the_rate)
{
    work_estimate work;
    work.record_prefill(work_estimate::min_prefill_tokens - 1, milliseconds{900});
    EXPECT_DOUBLE_EQ(work.prefill_tokens_per_ms(), work_estimate::initial_prefill_tokens_per_ms);
}

TEST(work_estimate_test, estimates_stay_within_bounds)
{
    work_estimate work;
    for (int n = 0; n < sample_count; ++n) {
        work.record_service_time(milliseconds{30'000});
    }
    EXPECT_LE(work.service_time_ms(),
              work_estimate::initial_service_time_ms * quantile_estimate::max_deviation);
}

} // namespace
} // namespace endivelatch

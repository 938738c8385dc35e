#include "admission/models.hpp"
#include "endivelatch/admission/retry_budget.hpp"

#include <gtest/gtest.h>

namespace endivelatch::models {
namespace {

TEST(bulkheads, keep_a_slow_service_from_delaying_the_others)
{
    const auto before = run_slow_service({false, true, false, 60});
    const auto during = run_slow_service({true, true, false, 60});
    EXPECT_LE(during.p99_ms, 1.1 * before.p99_ms);
}

TEST(bulkheads, are_needed_to_keep_a_slow_service_from_delaying_the_others)
{
    const auto before = run_slow_service({false, false, false, 60});
    const auto during = run_slow_service({true, false, false, 60});
    EXPECT_GT(during.p99_ms, 1.1 * before.p99_ms);
}

TEST(bulkheads, limit_the_bytes_of_one_slow_reader_and_of_all_readers)
{
    bulkhead answers{{1, 1000, 1, 300}};
    EXPECT_TRUE(answers.try_reserve_buffer(300, 0));
    EXPECT_FALSE(answers.try_reserve_buffer(1, 300));
    EXPECT_TRUE(answers.try_reserve_buffer(300, 0));
    EXPECT_TRUE(answers.try_reserve_buffer(300, 0));
    EXPECT_FALSE(answers.try_reserve_buffer(300, 0));
    answers.release_buffer(300);
    EXPECT_TRUE(answers.try_reserve_buffer(300, 0));
}

TEST(organisation_cap, is_exceeded_by_at_most_one_request_for_each_other_router)
{
    for (const auto routers : {2, 8}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            EXPECT_LE(organisation_overshoot(routers, 64, true, seed), routers - 1);
        }
        EXPECT_GT(organisation_overshoot(routers, 64, false, 1), routers - 1) << "without pacing";
    }
}

/// Returns the ratio of the other organisations' mean 95th percentile wait over five seeds with a
/// surge to that without one.
double surge_ratio(double utilisation, bool is_fair)
{
    double before_ms = 1;
    double during_ms = 1;
    surge_settings settings;
    settings.utilisation = utilisation;
    settings.is_fair = is_fair;
    for (settings.seed = 1; settings.seed <= 5; ++settings.seed) {
        settings.has_surge = false;
        before_ms += surge_model{settings}.run().p95_wait_ms;
        settings.has_surge = true;
        during_ms += surge_model{settings}.run().p95_wait_ms;
    }
    return during_ms / before_ms;
}

TEST(surge, delays_other_organisations_by_a_fifth_at_most)
{
    for (const auto utilisation : {0.6, 0.85, 0.95}) {
        EXPECT_LE(surge_ratio(utilisation, true), 1.2) << utilisation;
    }
}

/// Returns the ratio of the other organisations' 95th percentile wait with a surge to that without
/// one, for the first seed.
double first_seed_ratio(double utilisation)
{
    surge_settings settings;
    settings.utilisation = utilisation;
    const auto before = surge_model{settings}.run();
    settings.has_surge = true;
    const auto during = surge_model{settings}.run();
    return (1 + during.p95_wait_ms) / (1 + before.p95_wait_ms);
}

TEST(surge, delays_other_organisations_by_a_fifth_at_most_at_60_percent_utilisation)
{
    EXPECT_LE(first_seed_ratio(0.6), 1.2);
}

TEST(surge, delays_other_organisations_by_a_fifth_at_most_at_85_percent_utilisation)
{
    EXPECT_LE(first_seed_ratio(0.85), 1.2);
}

TEST(surge, delays_other_organisations_by_more_than_a_fifth_without_fairness)
{
    EXPECT_GT(surge_ratio(0.85, false), 1.2);
}

TEST(retry_budget, limits_attempts_during_an_outage)
{
    const time_point start{std::chrono::hours{1}};
    retry_budget budget{0.1, 3};
    int requests = 0;
    int attempts = 0;
    for (auto now = start; now < start + 100 * second; now += 10 * millisecond) {
        ++requests;
        ++attempts;
        budget.record_request(now);
        for (int n = 0; n < 3 && budget.try_retry(now); ++n) {
            ++attempts;
        }
    }
    EXPECT_LE(attempts, 1.1 * requests + 30);
    EXPECT_GE(attempts, 1.09 * requests);
}

} // namespace
} // namespace endivelatch::models

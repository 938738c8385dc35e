#include "model/scenarios.hpp"

#include <gtest/gtest.h>

namespace endivelatch::model {
namespace {

constexpr double min_share_of_oracle_reuse = 0.97;

/// Simulates a workload with one policy and seed.
outcome_counts run(workload load, std::uint64_t seed, const policy& rules)
{
    load.seed = seed;
    return fleet_model{load, make_trace(load), rules}.run();
}

class reuse_through_churn : public testing::TestWithParam<std::uint64_t> {};

TEST_P(reuse_through_churn, nears_the_oracle_and_exceeds_all_baselines)
{
    for (const auto& load : {long_prompt_workload(), short_chat_workload()}) {
        const auto own = run(load, GetParam(), {});
        for (const auto& it : reference_policies()) {
            const auto other = run(load, GetParam(), it);
            const bool is_oracle = it.strategy == placement::oracle;
            const double min_reuse = other.reuse() * (is_oracle ? min_share_of_oracle_reuse : 1);
            EXPECT_GT(own.reuse(), min_reuse) << it.name << " with " << load.targets << " targets";
        }
        EXPECT_EQ(own.admissions_to_draining, 0U);
    }
}

TEST_P(reuse_through_churn, is_lost_without_hints)
{
    const auto oracle = run(long_prompt_workload(), GetParam(), reference_policies().front());
    const auto own = run(long_prompt_workload(), GetParam(),
                         modified_policy("no_hints", [](policy& it) { it.uses_hints = false; }));
    EXPECT_LT(own.reuse(), oracle.reuse() * min_share_of_oracle_reuse);
}

INSTANTIATE_TEST_SUITE_P(seeds, reuse_through_churn, testing::Values(1, 2, 3));

class skew_through_surge : public testing::TestWithParam<std::uint64_t> {};

TEST_P(skew_through_surge, admits_nothing_above_the_bound_of_the_true_mean)
{
    const auto own =
        run(combined_workload(), GetParam(),
            modified_policy("admit", [](policy& it) { it.load_bound = admission_bound; }));
    EXPECT_EQ(own.over_bound, 0U);
}

TEST_P(skew_through_surge, is_exceeded_when_the_bound_is_ignored)
{
    const auto unbounded =
        run(combined_workload(), GetParam(), modified_policy("no_bound", [](policy& it) {
                it.load_bound = admission_bound;
                it.enforces_bound = false;
            }));
    EXPECT_GT(unbounded.over_bound, 0U);
}

INSTANTIATE_TEST_SUITE_P(seeds, skew_through_surge, testing::Values(1, 2, 3));

/// A workload whose cache is too small to keep chats between their turns.
workload small_cache()
{
    auto load = long_prompt_workload();
    load.cache_tokens = 2'500'000;
    return load;
}

TEST(warm_state, ignoring_evictions_loses_reuse_and_waits_for_cold_targets)
{
    double own_reuse = 0;
    double blind_reuse = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto own = run(small_cache(), seed, {});
        const auto blind = run(
            small_cache(), seed,
            modified_policy("no_cache_events", [](policy& it) { it.uses_cache_events = false; }));
        EXPECT_GT(blind.wasted_waits, own.wasted_waits * 2) << seed;
        own_reuse += own.reuse();
        blind_reuse += blind.reuse();
    }
    EXPECT_LT(blind_reuse, own_reuse);
}

TEST(warm_state, ignoring_incarnations_waits_for_restarted_targets)
{
    const auto own = run(long_prompt_workload(), 1, {});
    const auto blind =
        run(long_prompt_workload(), 1,
            modified_policy("no_run_check", [](policy& it) { it.checks_incarnation = false; }));
    EXPECT_GT(blind.wasted_waits, own.wasted_waits * 2);
}

TEST(cache_transfer, raises_reuse_through_planned_stops)
{
    double moved = 0;
    double kept = 0;
    for (const std::uint64_t seed : {1, 2, 3}) {
        kept += run(long_prompt_workload(), seed, {}).reuse();
        moved += run(long_prompt_workload(), seed,
                     modified_policy("hand_over",
                                     [](policy& it) { it.transfer_tokens = transfer_budget; }))
                     .reuse();
    }
    EXPECT_GT(moved, kept);
}

TEST(hold_back, spares_requests_on_a_flapping_target)
{
    auto load = long_prompt_workload();
    load.flapping = true;
    const auto own = run(load, 1, {});
    const auto eager = run(
        load, 1, modified_policy("no_hold_back", [](policy& it) { it.uses_flap_damping = false; }));
    EXPECT_LT(own.aborted, eager.aborted / 2);
    EXPECT_GT(own.reuse(), eager.reuse());
}

} // namespace
} // namespace endivelatch::model

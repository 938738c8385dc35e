#include "admission/skew_model.hpp"
#include "endivelatch/admission/fair_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace endivelatch::models {
namespace {

TEST(load_bound, rounds_up_and_is_never_below_one)
{
    EXPECT_EQ(load_cap(1.25, 0, 24), 1U);
    EXPECT_EQ(load_cap(1.25, 23, 24), 2U);
    EXPECT_EQ(load_cap(1.25, 95, 24), 5U);
    EXPECT_EQ(load_cap(1.25, 10, 0), 1U);
}

TEST(pool_load, counts_own_targets_exactly_and_decays_reports_of_others)
{
    const time_point start{std::chrono::hours{1}};
    pool_load load{10 * second};
    for (const auto* it : {"a", "b", "c"}) {
        load.add_target(target_id{it});
    }
    load.set_own(target_id{"a"}, 7);
    load.report(target_id{"b"}, 100, start);
    load.report(target_id{"b"}, 90, start - second);
    EXPECT_EQ(load.total(start), 107U);
    EXPECT_EQ(load.total(start + 5 * second), 57U);
    EXPECT_EQ(load.total(start + 10 * second), 7U);
    load.report(target_id{"a"}, 50, start + 10 * second);
    EXPECT_EQ(load.total(start + 10 * second), 7U) << "owned here";
}

TEST(skew, stays_within_the_bound_of_the_true_mean_at_every_start)
{
    for (const auto streams : {20.0, 105.0}) {
        skew_settings settings;
        settings.streams = streams;
        const auto r = skew_model{settings}.run();
        EXPECT_EQ(r.starts_above, 0) << "by " << r.excess << " of " << r.starts;
        EXPECT_GT(r.mean_in_flight, 0.9 * streams) << "the bound must not throttle the load";
    }
}

TEST(skew, exceeds_the_bound_without_decay_of_reports)
{
    skew_settings settings;
    settings.report_decay_time = 3600 * second;
    EXPECT_GT(skew_model{settings}.run().starts_above, 0);
}

queued_request waiting(std::uint64_t number, int organisation, int priority, std::uint32_t tokens)
{
    return {{{router_id{"r"}, incarnation{1}, number}, attempt{1}},
            organisation_id{std::to_string(organisation)},
            caller_id{std::to_string(number % 3)},
            priority,
            tokens,
            time_point{second * static_cast<int>(number)}};
}

/// Start-time fair queueing keeps the work per weight of two backlogged organisations within the
/// sum of one request of each.
TEST(fair_queue, shares_work_by_weight_and_orders_an_organisation_by_priority)
{
    EXPECT_TRUE(rc::check([] {
        const auto draws = *rc::gen::container<std::vector<std::pair<int, int>>>(
            100, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(1, 500)));
        fair_queue queue{1000};
        std::uint64_t number = 0;
        for (const auto& [priority, tokens] : draws) {
            queue.push(waiting(++number, 0, priority, tokens), 1);
            queue.push(waiting(++number, 1, priority, tokens), 3);
        }
        double served[2] = {0, 0};
        int lowest[2] = {3, 3};
        int left[2] = {100, 100};
        while (left[0] > 0 && left[1] > 0) {
            const auto it = queue.pop();
            const auto organisation = std::stoi(it.organisation.str());
            served[organisation] += it.work_tokens / (organisation == 0 ? 1.0 : 3.0);
            RC_ASSERT(it.priority <= lowest[organisation]);
            lowest[organisation] = it.priority;
            --left[organisation];
            RC_ASSERT(std::abs(served[0] - served[1]) <= 500.0 + 500.0 / 3);
        }
    }));
}

TEST(fair_queue, removes_from_the_longest_queue_when_full_and_expires_at_the_deadline)
{
    fair_queue queue{3};
    EXPECT_FALSE(queue.push(waiting(1, 0, 0, 1), 1).has_value());
    EXPECT_FALSE(queue.push(waiting(2, 0, 1, 1), 1).has_value());
    EXPECT_FALSE(queue.push(waiting(3, 1, 0, 1), 1).has_value());
    EXPECT_EQ(queue.push(waiting(4, 1, 5, 1), 2)->key.request.sequence, 1U);
    EXPECT_EQ(queue.expire(time_point{3 * second}).size(), 1U);
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(queue.take_all().size(), 2U);
    EXPECT_EQ(queue.organisations(), 0U);
}

} // namespace
} // namespace endivelatch::models

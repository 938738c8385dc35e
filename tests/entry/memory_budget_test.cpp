#include "endivelatch/entry/memory_budget.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::seconds;

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t smallest_vm = 112 * megabyte;
constexpr std::size_t body_limit = 4'194'304;

memory_budget budget_of(std::size_t memory)
{
    memory_budget budget;
    budget.set_shares(share_memory(memory, body_limit));
    return budget;
}

TEST(memory_budget, all_shares_together_are_below_half_of_the_memory)
{
    const auto shares = share_memory(smallest_vm, body_limit);
    EXPECT_LT(shares.requests + shares.answers + shares.services + shares.buffered_answers,
              smallest_vm / 2);
}

TEST(memory_budget, one_body_at_the_limit_has_room)
{
    for (const auto memory : {16 * megabyte, 112 * megabyte, 512 * megabyte}) {
        auto budget = budget_of(memory);
        EXPECT_TRUE(budget.try_hold(memory_use::requests, 0, body_limit + 16'384)) << memory;
    }
}

// Large bodies that arrive at once must leave room for ordinary ones.
TEST(memory_budget, large_requests_leave_room_for_small_ones)
{
    auto budget = budget_of(smallest_vm);
    int large = 0;
    while (budget.try_hold(memory_use::requests, 0, body_limit)) {
        ++large;
    }
    EXPECT_GE(large, 4);
    int small = 0;
    while (budget.try_hold(memory_use::requests, 0, memory_budget::small_request)) {
        ++small;
    }
    EXPECT_GE(small, 16);
    budget.release(memory_use::requests, body_limit + memory_budget::small_request);
    EXPECT_TRUE(budget.try_hold(memory_use::requests, 0, memory_budget::small_request));
}

TEST(memory_budget, growing_requests_lose_the_rights_of_small_ones)
{
    auto budget = budget_of(smallest_vm);
    while (budget.try_hold(memory_use::requests, 0, memory_budget::small_request + 1)) {
    }
    std::size_t held = 0;
    while (budget.try_hold(memory_use::requests, held, 16'384)) {
        held += 16'384;
    }
    EXPECT_LE(held, memory_budget::small_request);
}

TEST(memory_budget, answers_are_read_in_small_pieces_when_their_share_is_used_up)
{
    auto budget = budget_of(smallest_vm);
    EXPECT_TRUE(budget.may_read_on(memory_budget::max_unsent - 1));
    EXPECT_FALSE(budget.may_read_on(memory_budget::max_unsent));
    const auto share = share_memory(smallest_vm, body_limit).answers;
    budget.hold(memory_use::answers, share);
    EXPECT_TRUE(budget.may_read_on(0)) << "a caller that reads must get the rest";
    EXPECT_FALSE(budget.may_read_on(memory_budget::min_unsent));
    budget.release(memory_use::answers, 1);
    EXPECT_TRUE(budget.may_read_on(memory_budget::min_unsent));
}

TEST(memory_budget, without_shares_nothing_is_refused)
{
    memory_budget budget;
    EXPECT_TRUE(budget.try_hold(memory_use::requests, 0, 1'000'000'000'000));
}

TEST(choose_yielding, the_largest_of_those_that_receive_too_slowly_yields)
{
    const time_point start{seconds{100}};
    const auto now = start + seconds{10};
    const std::vector<incoming_request> incoming{
        {1, body_limit, 10 * protected_receive_rate, start}, // Just fast enough.
        {2, 100, 0, start},
        {3, body_limit, 10 * protected_receive_rate - 1, start},
        {4, body_limit * 2, 0, now - protected_receive_time / 2}, // Has just begun.
    };
    EXPECT_EQ(choose_yielding(incoming, now), 3U);
    EXPECT_EQ(choose_yielding({}, now), std::nullopt);
    EXPECT_EQ(choose_yielding(std::vector{incoming.front()}, now), std::nullopt);
}

} // namespace
} // namespace endivelatch

#include "router_fixture.hpp"

#include <map>
#include <set>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Incident 2026-12-04-limits-of-targets-ignored: a limit that a target states in its answers.
TEST_F(router_fixture, a_target_gets_no_more_than_its_stated_limit)
{
    constexpr double limit = 2;
    std::map<target_id, int> sent;
    for (int n = 0; n < 400; ++n) {
        clock.advance(milliseconds{10});
        arrive("safe");
        const auto* attempt = find<start_attempt>();
        if (attempt == nullptr) {
            continue;
        }
        const auto key = attempt->key;
        ++sent[attempt->parameters.expected_target];
        auto answer = success();
        answer.states_limit = true;
        answer.request_limit = request_rate{limit};
        dispatch(answer_begun{key, answer});
        ASSERT_NE(find<share_limit>(), nullptr);
        dispatch(answer_finished{key});
    }
    for (const auto& [id, count] : sent) {
        EXPECT_LE(count, 1.5 * 4 * limit + 5) << id;
        EXPECT_GE(count, 0.75 * 4 * limit) << id;
    }
    arrive("safe");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
    EXPECT_TRUE(find<refuse_request>()->retry_after);
}

TEST_F(router_fixture, a_limit_ends_with_the_next_answer_without_it)
{
    const auto id = target_id{"t1"};
    dispatch(limits_received{{{key_of(id), request_rate{1'000}, clock.now()}}});
    for (int n = 0; n < 40; ++n) {
        clock.advance(milliseconds{10});
        arrive("safe");
        const auto key = started();
        const bool is_limited = find<start_attempt>()->parameters.expected_target == id;
        dispatch(answer_begun{key, success()});
        if (is_limited) {
            ASSERT_NE(find<share_limit>(), nullptr);
            EXPECT_FALSE(find<share_limit>()->limit);
            dispatch(answer_finished{key});
            return;
        }
        dispatch(answer_finished{key});
    }
    FAIL() << "the limited target was never chosen";
}

// The target would refuse each further request and count it as pressure.
TEST_F(router_fixture, a_target_that_asks_for_a_pause_gets_nothing_until_its_end)
{
    const auto pause = seconds{3};
    std::map<target_id, time_point> paused_until;
    std::set<target_id> resumed;
    for (int n = 0; n < 100; ++n) {
        clock.advance(milliseconds{60});
        arrive("unsafe");
        while (const auto* attempt = find<start_attempt>()) {
            const auto id = attempt->parameters.expected_target;
            const auto key = attempt->key;
            const auto [known, is_new] = paused_until.try_emplace(id, clock.now() + pause);
            EXPECT_TRUE(is_new || clock.now() >= known->second) << id;
            if (!is_new) {
                resumed.insert(id);
            }
            auto refusal = not_run();
            refusal.pause = pause;
            known->second = clock.now() + pause;
            dispatch(answer_begun{key, refusal});
        }
        EXPECT_EQ(find<refuse_request>()->status, 503);
    }
    EXPECT_EQ(resumed.size(), 4U);
}

TEST_F(router_fixture, the_longest_pause_is_bounded)
{
    targets_changed only_one;
    only_one.targets.push_back(make_target(1));
    dispatch(targets_changed{only_one});
    arrive("unsafe");
    auto refusal = not_run();
    refusal.pause = seconds{1'000'000};
    dispatch(answer_begun{started(), refusal});
    clock.advance(target_state::max_pause);
    arrive("unsafe");
    EXPECT_NE(find<start_attempt>(), nullptr);
}

// The registration of a target may say later that it leaves, or never.
TEST_F(router_fixture, a_target_that_states_that_it_leaves_gets_no_new_requests)
{
    arrive("safe");
    const auto leaving = find<start_attempt>()->parameters.expected_target;
    auto answer = success();
    answer.states_leaving = true;
    const auto key = started();
    dispatch(answer_begun{key, answer});
    dispatch(answer_finished{key});
    for (int n = 0; n < 50; ++n) {
        clock.advance(milliseconds{100});
        arrive("safe");
        ASSERT_NE(find<start_attempt>(), nullptr);
        EXPECT_NE(find<start_attempt>()->parameters.expected_target, leaving);
    }
}

// The id may stay, but another start of the target has not stated that it leaves.
TEST_F(router_fixture, a_restarted_target_does_not_leave)
{
    targets_changed only_one;
    only_one.targets.push_back(make_target(1));
    dispatch(targets_changed{only_one});
    arrive("safe");
    auto answer = success();
    answer.states_leaving = true;
    dispatch(answer_begun{started(), answer});
    arrive("safe");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
    only_one.targets.front().started = incarnation{2};
    dispatch(targets_changed{only_one});
    arrive("safe");
    EXPECT_NE(find<start_attempt>(), nullptr);
}

// A statement in an answer of another target, or in an unsigned one, proves nothing.
TEST_F(router_fixture, statements_of_other_targets_do_not_count)
{
    for (const int status : {421, 500}) {
        arrive("unsafe");
        auto answer = not_run();
        answer.status = status;
        answer.states_not_run = status == 421;
        answer.states_leaving = true;
        dispatch(answer_begun{started(), answer});
        EXPECT_EQ(router.metrics().value("targets_stated_leaving"), 0) << status;
    }
}

// An unreadable limit must not end a former one.
TEST_F(router_fixture, an_unreadable_limit_changes_nothing)
{
    arrive("safe");
    auto answer = success();
    answer.states_limit = true;
    dispatch(answer_begun{started(), answer});
    EXPECT_EQ(find<share_limit>(), nullptr);
}

} // namespace
} // namespace endivelatch

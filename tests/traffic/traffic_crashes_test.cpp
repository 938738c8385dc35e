#include "router_fixture.hpp"

#include <set>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Incident 2026-12-04-prompt-part-crashes-targets: requests with one part crash their targets.
TEST_F(router_fixture, a_part_that_crashes_targets_is_sent_to_few_of_them)
{
    int crashes = 0;
    int refused = 0;
    for (int n = 0; n < 10; ++n) {
        const auto document = 100 + static_cast<std::uint64_t>(n); // Each has its own home.
        arrive_with_parts("stream", {1, 2, document, 200});
        while (find<start_attempt>() != nullptr) {
            const auto key = started();
            clock.advance(milliseconds{100});
            dispatch(answer_begun{key, success()});
            dispatch(attempt_broken{key, attempt_stage::answering, "closed by the peer", true});
            ++crashes;
        }
        const auto* refusal = find<refuse_request>();
        ASSERT_NE(refusal, nullptr);
        refused += refusal->status == 503 && refusal->retry_after ? 1 : 0;
        clock.advance(seconds{9}); // Ejections end.
    }
    EXPECT_EQ(crashes, 3);
    EXPECT_EQ(refused, 7);
    arrive_with_parts("stream", {1, 100, 200});
    EXPECT_NE(find<start_attempt>(), nullptr);
}

TEST_F(router_fixture, a_request_present_at_two_successive_crashes_is_not_retried)
{
    arrive_with_parts("resumable", {1, 2, 100});
    for (int n = 0; n < 2; ++n) {
        const auto key = started();
        clock.advance(milliseconds{100});
        dispatch(attempt_broken{key, attempt_stage::sent, "closed by the peer", true});
        if (n == 0) {
            ASSERT_NE(find<start_attempt>(), nullptr);
        }
    }
    EXPECT_EQ(find<refuse_request>()->status, 502);
    arrive_with_parts("resumable", {1, 2, 101});
    const auto key = started();
    clock.advance(milliseconds{100});
    dispatch(attempt_broken{key, attempt_stage::sent, "closed by the peer", true});
    EXPECT_EQ(find<start_attempt>(), nullptr);
}

// A request that crashes its targets comes again, while answers to others with the same shared
// parts begin in between and clear those.
TEST_F(router_fixture, a_request_that_crashes_targets_is_refused_when_it_comes_again)
{
    std::set<target_id> crashed;
    for (int n = 0; n < 6; ++n) {
        arrive_with_parts("stream", {1, 2, 100});
        while (const auto* attempt = find<start_attempt>()) {
            const bool is_down = crashed.contains(attempt->parameters.expected_target);
            crashed.insert(attempt->parameters.expected_target);
            clock.advance(milliseconds{100});
            dispatch(attempt_broken{attempt->key,
                                    is_down ? attempt_stage::not_sent : attempt_stage::sent,
                                    "closed by the peer", !is_down});
        }
        clock.advance(seconds{1});
        dispatch(crash_news_received{{{}, {{part_key{1}, {}}, {part_key{2}, {}}}}});
        clock.advance(seconds{1});
    }
    EXPECT_EQ(crashed.size(), crash_evidence::quarantine_threshold);
}

// Requests that wait at targets when a part is quarantined would crash them too.
TEST_F(router_fixture, waiting_requests_with_a_quarantined_part_are_cancelled)
{
    const auto waiting = arrive_with_parts("stream", {1, 2, 100});
    const auto key = started();
    crash_news news;
    for (std::uint32_t n = 1; n <= 3; ++n) {
        news.reports.push_back({crash_report_id{n},
                                target_key{n},
                                milliseconds{100},
                                milliseconds{1'000 * (4 - n)},
                                {part_key{2}},
                                {}});
    }
    dispatch(crash_news_received{news});
    ASSERT_NE(find<cancel_attempt>(), nullptr);
    EXPECT_EQ(find<cancel_attempt>()->key, key);
    EXPECT_EQ(find<refuse_request>()->exchange, waiting);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

} // namespace
} // namespace endivelatch

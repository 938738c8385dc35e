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

/// Lets the last request's attempt begin an answer and send a number of events.
class crash_fixture : public router_fixture {
protected:
    exchange_attempt begin(int events)
    {
        const auto key = started();
        clock.advance(milliseconds{100});
        dispatch(answer_begun{key, success()});
        for (int n = 1; n <= events; ++n) {
            clock.advance(milliseconds{20});
            dispatch(answer_bytes{key, "id: " + std::to_string(n) + "\ndata: " + std::to_string(n) +
                                           "\n\n"});
        }
        return key;
    }

    /// As `begin`, with an answer that has neither length nor chunks.
    exchange_attempt begin_without_length(int events)
    {
        const auto key = started();
        auto answer = success();
        answer.ends_with_connection = true;
        dispatch(answer_begun{key, answer});
        for (int n = 1; n <= events; ++n) {
            dispatch(answer_bytes{key, "data: " + std::to_string(n) + "\n\n"});
        }
        return key;
    }

    /// Lets the target of the attempt close the connection.
    void crash(const exchange_attempt& key)
    {
        dispatch(attempt_broken{key, attempt_stage::answering, "closed by the peer", true});
    }

    /// Sends a request and lets it be answered completely. Returns whether it was sent to a target.
    bool answer_whole(const std::vector<std::uint64_t>& parts)
    {
        arrive_with_parts("stream", parts);
        if (find<start_attempt>() == nullptr) {
            return false;
        }
        dispatch(answer_finished{begin(3)});
        return true;
    }
};

// review/8: a part that crashes targets after the first event of an answer was never quarantined.
TEST_F(crash_fixture, a_part_is_quarantined_at_whatever_event_its_targets_crash)
{
    for (const int events : {0, 1, 2, 90}) {
        router = traffic_router{traffic_settings{}};
        dispatch(configuration_changed{make_configuration()});
        dispatch(targets_changed{{make_target(1), make_target(2), make_target(3)}, 1});
        int crashes = 0;
        for (std::uint64_t n = 0; n < 10; ++n) {
            EXPECT_TRUE(answer_whole({1, 300 + n, 400 + n})) << events;
            arrive_with_parts("stream", {1, 2, 100 + n, 200 + n});
            if (find<start_attempt>() != nullptr) {
                crash(begin(events));
                ++crashes;
            }
            clock.advance(seconds{9}); // Ejections end.
        }
        EXPECT_EQ(crashes, 3) << events;
    }
}

// The end of an answer without length looks the same whether its target is done or crashes.
TEST_F(crash_fixture, a_part_is_quarantined_if_answers_without_length_end_with_crashes)
{
    int crashes = 0;
    for (std::uint64_t n = 0; n < 10; ++n) {
        const auto document = 100 + n; // Both have the same home.
        arrive_with_parts("stream", {1, document, 300 + n});
        const auto sound = started();
        arrive_with_parts("stream", {1, 2, document, 200 + n});
        if (find<start_attempt>() == nullptr) {
            dispatch(answer_finished{sound});
            continue;
        }
        const auto key = begin_without_length(2);
        clock.advance(milliseconds{100});
        dispatch(answer_finished{key});
        dispatch(attempt_broken{sound, attempt_stage::sent, "closed by the peer", true});
        ++crashes;
        clock.advance(seconds{9}); // Ejections end.
        EXPECT_TRUE(answer_whole({1, 400 + n, 500 + n}));
    }
    EXPECT_EQ(crashes, 3);
}

// review/9: a sound request that ran at one of the crashed targets had its first part, which few
// requests share, refused for the time of the quarantine.
TEST_F(crash_fixture, a_sound_part_present_at_a_crash_beside_the_deadly_one_is_served)
{
    for (std::uint64_t n = 0; n < 20; ++n) {
        EXPECT_TRUE(answer_whole({1, 300 + n}));
        clock.advance(milliseconds{2'400});
    }
    arrive_with_parts("stream", {1, 400});
    const auto sound = started();
    for (std::uint64_t n = 0; n < 10; ++n) {
        clock.advance(milliseconds{100});
        arrive_with_parts("stream", {2, 1, 200 + n});
        const auto key = started();
        if (find<start_attempt>() == nullptr) {
            break;
        }
        clock.advance(milliseconds{200});
        dispatch(attempt_broken{key, attempt_stage::sent, "closed by the peer", true});
        if (n == 0) {
            dispatch(attempt_broken{sound, attempt_stage::sent, "closed by the peer", true});
        }
    }
    clock.advance(seconds{9});
    for (std::uint64_t n = 0; n < 20; ++n) {
        EXPECT_TRUE(answer_whole({1, 500 + n})) << n;
        arrive_with_parts("stream", {2, 1, 600 + n});
        EXPECT_EQ(find<start_attempt>(), nullptr) << n;
        clock.advance(milliseconds{2'400});
    }
}

// Two parts that were at the same crashes, in different requests, are both refused. One of them is
// sound, and no request would ever show it.
TEST_F(crash_fixture, a_part_that_may_be_sound_is_tried_out_by_one_request)
{
    crash_news news;
    for (std::uint32_t n = 1; n <= 3; ++n) {
        for (const std::uint64_t part : {1U, 2U}) {
            news.reports.push_back({crash_report_id{std::uint64_t{10} * n + part},
                                    target_key{n},
                                    milliseconds{100},
                                    milliseconds{1'000 * (4 - n)},
                                    {part_key{part}},
                                    {}});
        }
    }
    dispatch(crash_news_received{news});
    EXPECT_FALSE(answer_whole({1, 100}));
    clock.advance(crash_evidence::first_trial_delay);
    EXPECT_FALSE(answer_whole({1, 2, 101})); // It would not show which part is sound.
    arrive_with_parts("stream", {1, 102});
    const auto trial = begin(1);
    arrive_with_parts("stream", {1, 103});
    EXPECT_EQ(find<start_attempt>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_LE(find<refuse_request>()->retry_after, traffic_router::max_quarantine_retry_after);
    dispatch(answer_finished{trial});
    EXPECT_TRUE(answer_whole({1, 104}));
    EXPECT_FALSE(answer_whole({2, 105}));
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

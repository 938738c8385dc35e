#include "endivelatch/entry/connection_limits.hpp"

#include <vector>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

TEST(share_descriptors, callers_targets_and_the_rest_fit_beside_the_files)
{
    for (const std::size_t descriptors : {256U, 600U, 2'870U, 8'192U}) {
        const auto it = share_descriptors(descriptors);
        EXPECT_EQ(it.callers, it.targets);
        EXPECT_GT(it.metrics, 0U) << descriptors;
        EXPECT_LT(it.callers + it.targets + it.peers + it.entries + it.readiness + it.metrics,
                  descriptors - std::min(descriptors / 2, descriptors_for_files));
    }
}

// A caller that opens connections and says nothing must not keep others out.
TEST(choose_connections_to_close, idle_ones_go_first_and_answers_are_never_cut)
{
    const auto now = start + seconds{10};
    const std::vector<open_connection> open{
        {1, connection_state::answering, start},
        {2, connection_state::receiving_body, start},
        {3, connection_state::receiving_head, start + seconds{1}},
        {4, connection_state::receiving_head, start},
        {5, connection_state::idle, start + seconds{2}},
        {6, connection_state::idle, start + seconds{1}},
        {7, connection_state::idle, now - protected_connection_time / 2},
    };
    EXPECT_EQ(choose_connections_to_close(open, 2, now), (std::vector<std::uint64_t>{6, 5}));
    EXPECT_EQ(choose_connections_to_close(open, 32, now),
              (std::vector<std::uint64_t>{6, 5, 4, 3, 2}));
}

TEST(body_progress, a_body_without_payload_is_too_slow_after_a_span)
{
    body_progress body;
    body.start(start);
    EXPECT_FALSE(body.is_too_slow(0, start + body_progress::span - milliseconds{1}));
    EXPECT_TRUE(body.is_too_slow(0, start + body_progress::span));
}

// Progress in the past must not keep a body open that has stopped.
TEST(body_progress, a_body_that_stops_short_of_its_end_is_too_slow)
{
    body_progress body;
    body.start(start);
    EXPECT_FALSE(body.is_too_slow(4'194'303, start + body_progress::span));
    EXPECT_TRUE(body.is_too_slow(4'194'303, start + body_progress::span * 2));
}

TEST(body_progress, the_largest_body_over_a_modem_is_never_too_slow)
{
    constexpr std::size_t bytes_per_second = 1'200; // 9,600 bits a second.
    constexpr std::size_t largest = 4'194'304;
    body_progress body;
    body.start(start);
    for (std::size_t second = 1; second * bytes_per_second < largest; ++second) {
        ASSERT_FALSE(body.is_too_slow(second * bytes_per_second, start + seconds{second}));
    }
}

TEST(reading_progress, counts_the_time_without_progress_only)
{
    reading_progress reading;
    EXPECT_EQ(reading.stalled_for(0, 100, start), duration{});
    EXPECT_EQ(reading.stalled_for(0, 100, start + seconds{60}), duration{}) << "nothing waits";
    EXPECT_EQ(reading.stalled_for(50, 100, start + seconds{61}), duration{});
    EXPECT_EQ(reading.stalled_for(50, 100, start + seconds{63}), seconds{2});
    EXPECT_EQ(reading.stalled_for(50, 101, start + seconds{64}), duration{}) << "a byte was taken";
    EXPECT_EQ(reading.stalled_for(50, 101, start + seconds{67}), seconds{3});
}

// A caller on a slow link that takes a little every few seconds gets the whole answer.
TEST(reading_progress, a_slow_but_steady_reader_never_stalls)
{
    reading_progress reading;
    std::uint64_t written = 0;
    for (auto now = start; now < start + seconds{600}; now += milliseconds{500}) {
        if ((now - start) % seconds{5} == duration{}) {
            ++written;
        }
        ASSERT_LT(reading.stalled_for(1'000, written, now), reader_stall_limit);
    }
}

} // namespace
} // namespace endivelatch

#include "endivelatch/traffic/event_counter.hpp"
#include "endivelatch/traffic/event_splitter.hpp"
#include "router_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <limits>
#include <string>
#include <string_view>

/// Streams of bytes without end: the time must grow with the number of bytes, whatever they are and
/// in whatever pieces they arrive, and an attempt that gets no events must end.
namespace endivelatch {
namespace {

using std::chrono::milliseconds;

/// Returns the processor time per byte to split a stream that arrives in pieces: the shortest of a
/// few runs. Time on the wall would count what the process waits for a processor, which comes in
/// pieces that are longer than a run of the small size.
double seconds_per_byte(std::string_view stream, std::size_t piece_size)
{
    constexpr int runs = 3;
    auto shortest = std::numeric_limits<std::clock_t>::max();
    for (int run = 0; run < runs; ++run) {
        event_splitter splitter;
        const auto begins_at = std::clock();
        for (std::size_t at = 0; at < stream.size(); at += piece_size) {
            splitter.feed(stream.substr(at, piece_size));
        }
        shortest = std::min(shortest, std::clock() - begins_at);
    }
    const auto seconds = static_cast<double>(shortest) / CLOCKS_PER_SEC;
    return seconds / static_cast<double>(stream.size());
}

constexpr std::size_t small = 16'384;
constexpr std::size_t large = 262'144;
/// Allowed growth of the time per byte from the small size to the large one. Time that grows with
/// the square of the size multiplies it by 16.
constexpr double allowed_growth = 4;

// review/2: line feeds without end stalled the routers, as each event searched all bytes that
// followed it.
TEST(event_splitter_time, per_byte_is_the_same_for_many_events_at_once)
{
    for (const std::string event : {"\n\n", "\r\n\r\n", "id: 1\ndata: x\n\n"}) {
        std::string stream;
        while (stream.size() < large) {
            stream += event;
        }
        const auto few = seconds_per_byte(std::string_view{stream}.substr(0, small), small);
        EXPECT_LT(seconds_per_byte(stream, large), few * allowed_growth) << event;
    }
}

// The same search was repeated from the start of an event for each piece of it.
TEST(event_splitter_time, per_byte_is_the_same_for_an_event_in_many_pieces)
{
    const std::string stream(large, 'x');
    const auto few = seconds_per_byte(std::string_view{stream}.substr(0, small), 1);
    EXPECT_LT(seconds_per_byte(stream, 1), few * allowed_growth);
}

TEST(event_splitter, finds_the_end_of_an_event_in_whatever_pieces_it_arrives)
{
    const std::string stream = "id: 7\r\ndata: x\r\n\r\n\n\nid: 8\n\n\r\n\r\nid: 9\n\n";
    const auto whole = event_splitter{}.feed(stream);
    ASSERT_EQ(whole.size(), 5U);
    for (std::size_t size = 1; size < stream.size(); ++size) {
        event_splitter splitter;
        std::vector<stream_event> events;
        for (std::size_t at = 0; at < stream.size(); at += size) {
            for (auto& it : splitter.feed(std::string_view{stream}.substr(at, size))) {
                events.push_back(std::move(it));
            }
        }
        ASSERT_EQ(events.size(), whole.size()) << size;
        for (std::size_t n = 0; n < whole.size(); ++n) {
            EXPECT_EQ(events[n].bytes, whole[n].bytes) << size;
        }
    }
}

TEST(event_counter, counts_bytes_that_belong_to_no_field)
{
    event_counter counter;
    counter.feed("\n\r\n: ping\n\n");
    EXPECT_EQ(counter.idle_bytes(), 11U);
    counter.feed("da");
    EXPECT_EQ(counter.idle_bytes(), 0U);
    counter.feed("ta: x:y\n\n");
    EXPECT_EQ(counter.idle_bytes(), 2U);
}

// A stream of empty lines would last until the deadline of its request.
TEST_F(router_fixture, a_stream_without_events_ends_and_is_sent_to_another_target)
{
    arrive("resumable");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, std::string(traffic_router::max_idle_stream_bytes, '\n')});
    EXPECT_EQ(find<cancel_attempt>(), nullptr);
    dispatch(answer_bytes{key, "\n"});
    ASSERT_NE(find<cancel_attempt>(), nullptr);
    EXPECT_EQ(find<cancel_attempt>()->key, key);
    EXPECT_NE(find<start_attempt>(), nullptr);
}

TEST_F(router_fixture, a_stream_that_may_not_be_resumed_is_broken_off_without_events)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, std::string(traffic_router::max_idle_stream_bytes + 1, '\n')});
    EXPECT_NE(find<cancel_attempt>(), nullptr);
    EXPECT_EQ(find<start_attempt>(), nullptr);
}

// A stream that is slow to carry on may send comments for as long as it takes.
TEST_F(router_fixture, comments_between_events_do_not_end_a_stream)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    const std::string comments(traffic_router::max_idle_stream_bytes / 2, ':');
    for (int n = 1; n <= 4; ++n) {
        dispatch(answer_bytes{key, comments + "\n\nid: " + std::to_string(n) + "\ndata: x\n\n"});
        EXPECT_EQ(find<cancel_attempt>(), nullptr);
    }
}

} // namespace
} // namespace endivelatch

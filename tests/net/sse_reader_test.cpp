#include "endivelatch/net/sse_reader.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace endivelatch {
namespace {

constexpr std::string_view stream =
    "id: 1\ndata: a\n\n: comment\r\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n"
    "data: [DONE]\n\nid: 3\ndata: cut";

std::vector<sse_event> read_in_pieces(std::string_view bytes, std::size_t size)
{
    sse_reader reader;
    std::vector<sse_event> events;
    while (!bytes.empty()) {
        reader.feed(bytes.substr(0, size));
        bytes.remove_prefix(std::min(size, bytes.size()));
        while (auto event = reader.next()) {
            events.push_back(*event);
        }
    }
    EXPECT_TRUE(reader.has_partial_event());
    return events;
}

TEST(sse_reader, returns_the_same_events_for_any_fragmentation)
{
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        const auto events = read_in_pieces(stream, size);
        ASSERT_EQ(events.size(), 3U);
        EXPECT_EQ(events[0].id, 1U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_EQ(events[1].data, "b\nc");
        EXPECT_FALSE(events[1].is_end());
        EXPECT_TRUE(events[2].is_end());
        EXPECT_EQ(events[0].raw + events[1].raw + events[2].raw,
                  stream.substr(0, stream.find("id: 3")));
    }
}

TEST(sse_reader, reports_an_event_above_the_size_limit)
{
    sse_reader reader{8};
    reader.feed("data: 1234567");
    EXPECT_FALSE(reader.next());
    EXPECT_TRUE(reader.is_too_large());
}

} // namespace
} // namespace endivelatch

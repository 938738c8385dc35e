#include "endivelatch/timeline/timeline.hpp"
#include "endivelatch/timeline/timeline_buffer.hpp"

#include <gtest/gtest.h>
#include <sstream>

namespace endivelatch {
namespace {

timeline_entry entry_at(std::int64_t wall_us, std::string process, log_event event)
{
    return {hybrid_time{wall_us, 0}, std::move(process), std::move(event)};
}

TEST(timeline, entry_is_equal_after_formatting_and_parsing)
{
    log_event event{"request_ended"};
    event.add("request", "r1.1.1").add("reason", "no \"target\" in time\nat all");
    const auto line = to_line(entry_at(7, "r1", event));
    const auto parsed = parse_timeline_entry(line);
    ASSERT_TRUE(has_value(parsed));
    EXPECT_EQ(to_line(value_of(parsed)), line);
}

TEST(timeline, merges_processes_and_reports_malformed_lines)
{
    timeline all;
    std::istringstream first{"stamp=5.0 process=r1 event=b\nstamp=x process=r1 event=b\n"};
    std::istringstream second{"stamp=4.2 process=r2 event=a\nnonsense\n"};
    EXPECT_EQ(all.read(first, "one").size(), 1U);
    EXPECT_EQ(all.read(second, "two").size(), 1U);
    const auto entries = all.entries();
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries[0].event.name(), "a");
}

TEST(timeline, filter_by_chat_finds_all_events_of_its_requests)
{
    timeline all;
    all.add(entry_at(1, "r1", log_event{"request_received"}.add("request", "q1").add("chat", "c")));
    all.add(entry_at(2, "r2", log_event{"run_started"}.add("request", "q1").add("target", "t")));
    all.add(entry_at(3, "r2", log_event{"run_started"}.add("request", "q2").add("target", "t")));
    timeline_filter filter;
    filter.chat = "c";
    EXPECT_EQ(all.matching(filter).size(), 2U);
    filter.event = "run_started";
    EXPECT_EQ(all.matching(filter).size(), 1U);
}

TEST(timeline_buffer, drops_the_oldest_lines_above_its_limits)
{
    timeline_buffer ring{2, 100};
    ring.add("a");
    ring.add("b");
    ring.add("c");
    EXPECT_EQ(ring.to_text(), "b\nc\n");
    EXPECT_EQ(ring.dropped(), 1U);
}

} // namespace
} // namespace endivelatch

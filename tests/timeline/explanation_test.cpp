#include "endivelatch/timeline/explanation.hpp"

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

std::string line(const std::string& second, const std::string& rest)
{
    return "time=2026-04-06T16:57:" + second + ".000Z level=info " + rest + '\n';
}

const std::string chosen =
    "event=target_chosen request=a attempt=1 route=r organisation=o target=i-7 home=1 "
    "in_flight=3.7 mean=2.1 unread_tokens=231 fetch=\"\" wait_ms=9 cost_ms=20.8 "
    "load_age_ms=362 config=4 revision=30";

std::optional<explanation> explain(const std::string& log)
{
    log_search search{"a"};
    std::istringstream in{log};
    search.read(in, "edge-1");
    return search.explain();
}

TEST(explanation, of_a_failed_attempt_names_its_stage_and_the_events_of_the_process)
{
    const auto found = explain(
        line("01", "event=store_lost kind=targets revision=29 reason=\"timed out\"") +
        line("02", chosen) + line("03", "event=target_chosen request=b target=i-8") +
        line("04", "event=paused ms=900") +
        line("05", "event=attempt_broken request=a attempt=1 target=i-7 stage=sent "
                   "reason=\"Connection reset by peer\"") +
        line("05", "event=request_finished request=a status=502 outcome=unknown "
                   "reason=\"Connection reset by peer\" route=r sends=1 first_ms=-1 ms=3000 "
                   "bytes=0"));
    ASSERT_TRUE(found);
    EXPECT_EQ(found->outcome,
              "failed with 502 after 3000 ms (Connection reset by peer); it may have run");
    EXPECT_THAT(
        found->causes,
        ElementsAre(
            HasSubstr("was sent to i-7, the home target of its prompt: 3.7 requests in flight"),
            HasSubstr("failed (Connection reset by peer) in stage sent")));
    EXPECT_EQ(found->lines.size(), 3U);
    ASSERT_EQ(found->process_events.size(), 1U);
    EXPECT_EQ(found->process_events.front().event.name(), "paused");
    EXPECT_THAT(to_text(*found), HasSubstr("edge-1 event=paused"));
}

TEST(explanation, of_a_refusal_after_the_start_names_the_missing_configuration)
{
    const auto found = explain(line("01", "event=request_refused request=a status=503 "
                                          "reason=\"configuration or targets not known yet\" "
                                          "host=h path=/p config=0"));
    ASSERT_TRUE(found);
    EXPECT_THAT(found->outcome, HasSubstr("refused on arrival with 503"));
    EXPECT_THAT(found->causes, ElementsAre("the router had no configuration yet"));
}

TEST(explanation, of_a_late_answer_compares_it_with_the_estimate)
{
    const auto found =
        explain(line("02", chosen) +
                line("03", "event=request_finished request=a status=200 outcome=complete "
                           "reason=\"\" route=r sends=1 first_ms=1060 ms=1506 bytes=236"));
    ASSERT_TRUE(found);
    EXPECT_THAT(found->outcome, HasSubstr("answered completely with 200 after 1506 ms"));
    EXPECT_THAT(found->causes.back(),
                HasSubstr("1060 ms after the request, 20.8 ms were expected"));
}

TEST(explanation, of_a_request_without_an_end_says_so)
{
    EXPECT_THAT(explain(line("02", chosen))->outcome, HasSubstr("no end was logged"));
    EXPECT_FALSE(explain(line("02", "event=paused ms=900")));
}

TEST(log_lines, take_their_process_from_the_prefix_or_else_from_the_file)
{
    const auto text = line("01", "event=paused ms=900");
    EXPECT_EQ(parse_log_line(text, "edge-1")->process, "edge-1");
    EXPECT_EQ(parse_log_line("  1.25 edge-2 " + text, "file")->process, "edge-2");
    EXPECT_FALSE(parse_log_line("no log line", "edge-1"));
    EXPECT_FALSE(parse_log_line("time=now event=x", "edge-1"));
}

} // namespace
} // namespace endivelatch

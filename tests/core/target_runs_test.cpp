#include "endivelatch/core/target_runs.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

const moment start_moment{time_point{} + std::chrono::hours{1}, wall_time{}};

payload text(const std::string& s)
{
    return std::make_shared<const std::string>(s);
}

/// Drives the runs of one owner, with a buffer and a window small enough to fill.
class target_runs_test : public testing::Test {
protected:
    target_runs_test()
    {
        settings.window_events = 4;
        settings.replay_bytes = 1000;
        target.id = target_id{"t"};
        target.url = "http://127.0.0.1:1";
        entry.from = router_id{"entry"};
        request.key = {request_id{router_id{"entry"}, incarnation{1}, 1}, attempt{1}};
        request.target = target.id;
        request.organisation = organisation_id{"o"};
        request.streams = true;
        request.body = text("{}");
    }

    void begin()
    {
        ASSERT_TRUE(runs.accept(entry, request, start_moment, out));
        runs.start(request.key, target, out);
        runs.on_answered({request.key, 200, "text/event-stream"}, "", out);
    }

    void send_events(int n)
    {
        for (int i = 0; i < n; ++i) {
            runs.on_data({request.key, text("data: x\n\n"), false}, out);
        }
    }

    /// Returns the messages of one type to a router among the effects of the last `take` call.
    template <class Message>
    std::vector<Message> sent_to(const std::string& router)
    {
        std::vector<Message> found;
        for (const auto& it : taken) {
            const auto* message = std::get_if<send_peer>(&it);
            if (message == nullptr || message->to.str() != router) {
                continue;
            }
            if (const auto* body = std::get_if<Message>(&message->envelope.body)) {
                found.push_back(*body);
            }
        }
        return found;
    }

    void take() { taken = out.take(); }

    router_settings settings;
    counters all_counters;
    outbox out{all_counters};
    target_runs runs{settings};
    target_document target;
    peer_envelope entry;
    forward_request request;
    router_effects taken;
};

TEST_F(target_runs_test, stream_without_an_end_marker_is_not_complete)
{
    begin();
    send_events(2);
    runs.on_closed({request.key, std::nullopt}, start_moment, out);
    take();
    const auto ends = sent_to<answer_end>("entry");
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].result, outcome::failed);
}

TEST_F(target_runs_test, complete_response_reports_its_last_event)
{
    begin();
    send_events(3);
    runs.on_data({request.key, text("data: [DONE]\n\n"), true}, out);
    runs.on_closed({request.key, std::nullopt}, start_moment, out);
    take();
    const auto ends = sent_to<answer_end>("entry");
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].result, outcome::complete);
    EXPECT_EQ(ends[0].last, event_number{3});
}

TEST_F(target_runs_test, failed_call_ends_as_not_run_only_if_no_byte_was_sent)
{
    ASSERT_TRUE(runs.accept(entry, request, start_moment, out));
    runs.start(request.key, target, out);
    runs.on_closed({request.key, target_call_failure{true, "broken"}}, start_moment, out);
    take();
    ASSERT_EQ(sent_to<answer_end>("entry").size(), 1U);
    EXPECT_EQ(sent_to<answer_end>("entry")[0].result, outcome::unknown);

    request.key.attempt = attempt{2};
    ASSERT_TRUE(runs.accept(entry, request, start_moment, out));
    runs.start(request.key, target, out);
    runs.on_closed({request.key, target_call_failure{false, "not_reached"}}, start_moment, out);
    take();
    EXPECT_EQ(sent_to<answer_end>("entry")[0].result, outcome::not_run);
}

TEST_F(target_runs_test, events_in_transit_are_limited_by_the_subscribers_window)
{
    begin();
    send_events(10);
    take();
    EXPECT_EQ(sent_to<answer_event>("entry").size(), settings.window_events);
    runs.credit(entry, {request.key, event_number{4}}, out);
    take();
    EXPECT_EQ(sent_to<answer_event>("entry").size(), settings.window_events);
}

TEST_F(target_runs_test, full_buffer_pauses_the_target_until_credit_arrives)
{
    settings.replay_bytes = 30;
    begin();
    send_events(4);
    take();
    const auto pauses = std::count_if(taken.begin(), taken.end(), [](const router_effect& it) {
        const auto* pause = std::get_if<pause_target_call>(&it);
        return pause != nullptr && pause->paused;
    });
    EXPECT_EQ(pauses, 1);
    runs.credit(entry, {request.key, event_number{4}}, out);
    take();
    EXPECT_TRUE(std::any_of(taken.begin(), taken.end(), [](const router_effect& it) {
        const auto* pause = std::get_if<pause_target_call>(&it);
        return pause != nullptr && !pause->paused;
    }));
}

TEST_F(target_runs_test, caller_resumes_at_another_router_after_its_last_event)
{
    begin();
    send_events(3);
    take();
    peer_envelope other;
    other.from = router_id{"other"};
    runs.resume(other, {request.key.request, request.organisation, target.id, event_number{1}},
                out);
    send_events(1);
    take();
    const auto events = sent_to<answer_event>("other");
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events.front().number, event_number{2});
    EXPECT_TRUE(sent_to<answer_event>("entry").empty());
}

TEST_F(target_runs_test, another_organisation_cannot_resume_the_stream)
{
    begin();
    send_events(3);
    take();
    peer_envelope other;
    other.from = router_id{"other"};
    runs.resume(other, {request.key.request, organisation_id{"p"}, target.id, event_number{1}},
                out);
    take();
    EXPECT_TRUE(sent_to<answer_event>("other").empty());
    EXPECT_EQ(sent_to<status_answer>("other").size(), 1U);
}

TEST_F(target_runs_test, late_attempt_is_rejected_after_being_reported_as_never_seen)
{
    runs.status(entry, {request.key}, start_moment, out);
    take();
    ASSERT_EQ(sent_to<status_answer>("entry").size(), 1U);
    EXPECT_EQ(sent_to<status_answer>("entry")[0].state, attempt_state::never_seen);
    EXPECT_FALSE(runs.accept(entry, request, start_moment, out));
}

TEST_F(target_runs_test, duplicate_forward_is_accepted_only_once)
{
    EXPECT_TRUE(runs.accept(entry, request, start_moment, out));
    EXPECT_FALSE(runs.accept(entry, request, start_moment, out));
}

} // namespace
} // namespace endivelatch

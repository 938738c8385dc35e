#include "router_fixture.hpp"

#include <iostream>
#include <string>
#include <vector>

namespace endivelatch {
namespace {

/// How the end of an answer's body is told.
enum class framing {
    delimited, ///< By a length or by chunks: an early end is noticed as such.
    closed,    ///< By the end of the connection, as after a crash.
    reset,     ///< By the end of the connection, which an early end resets.
};

/// A router with a route whose streams may be sent to three targets.
struct stream_cut : router_fixture {
    stream_cut() : router_fixture{6}
    {
        auto route = make_route("three", request_kind::streaming, 3, true);
        traffic_pool pool;
        pool.id = pool_id{"pool"};
        dispatch(configuration_changed{std::make_shared<const traffic_configuration>(
            traffic_version{2}, std::vector<traffic_route>{route}, std::vector<traffic_pool>{pool},
            std::vector<traffic_organisation>{{organisation_id{"org"}, {"key"}, 3}},
            caller_limits{})});
    }

    /// Dispatches an event and takes what it sends to the caller.
    void take(traffic_event&& event)
    {
        dispatch(std::move(event));
        for (const auto& it : effects) {
            if (const auto* sent = std::get_if<send_bytes>(&it)) {
                received += sent->bytes;
            }
            is_complete = is_complete || std::holds_alternative<end_answer>(it);
            has_ended = has_ended || is_complete || std::holds_alternative<abort_answer>(it) ||
                        std::holds_alternative<refuse_request>(it);
        }
        if (const auto* next = find<start_attempt>()) {
            attempt = *next;
        }
    }

    void begin(const std::string& host = "three")
    {
        clock.advance(std::chrono::minutes{1}); // Ejections and the retry budget start anew.
        received.clear();
        is_complete = has_ended = false;
        arrive(host);
        attempt = *find<start_attempt>();
    }

    target_answer head(bool ends_with_connection) const
    {
        auto answer = success();
        answer.headers = {{"Content-Type", "text/event-stream"}};
        answer.ends_with_connection = ends_with_connection;
        return answer;
    }

    /// Answers the current attempt with these bytes; `is_cut` if more would have followed.
    void answer(const std::string& bytes, framing how, bool is_cut)
    {
        const auto key = attempt.key;
        take(answer_begun{key, head(how != framing::delimited)});
        if (!bytes.empty()) {
            take(answer_bytes{key, bytes});
        }
        if (is_cut && how != framing::closed) {
            take(attempt_broken{key, attempt_stage::answering, "reset", true});
            return;
        }
        take(answer_finished{key});
    }

    start_attempt attempt;
    std::string received; ///< Body that the caller got.
    bool is_complete = false;
    bool has_ended = false;
};

std::string event(int n)
{
    return "id: " + std::to_string(n) + "\ndata: t" + std::to_string(n) + "\n\n";
}

// The second target crashed before its first event, and its closed connection was taken for the end
// of the stream (review/13).
TEST_F(stream_cut, a_resumed_run_that_closes_before_an_event_that_was_begun_is_not_the_end)
{
    begin();
    answer(event(1) + event(2) + "id: 3\nda", framing::closed, true);
    answer("", framing::closed, true);
    EXPECT_FALSE(is_complete);
    answer(event(3), framing::closed, false);
    EXPECT_TRUE(is_complete);
    EXPECT_EQ(received, event(1) + event(2) + event(3));
}

// A stream of which everything was sent has nothing more to say.
TEST_F(stream_cut, a_resumed_run_without_events_that_ends_properly_ends_the_stream)
{
    begin();
    answer(event(1) + event(2), framing::reset, true);
    answer("", framing::delimited, false);
    EXPECT_TRUE(is_complete);
}

TEST_F(stream_cut, no_end_is_right_before_an_event_that_was_begun)
{
    begin();
    answer(event(1) + "id: 2\nda", framing::delimited, true);
    answer("", framing::delimited, false);
    EXPECT_FALSE(is_complete);
    answer("", framing::delimited, false);
    EXPECT_FALSE(is_complete);
    EXPECT_NE(find<abort_answer>(), nullptr);
}

TEST_F(stream_cut, comments_and_retry_fields_are_no_events)
{
    for (const std::string filler : {": ping\n\n", "retry: 100\n\n", "\n\n", "\r\n\r\n"}) {
        begin();
        answer(event(1) + "id: 2", framing::reset, true);
        answer(filler, framing::closed, true);
        EXPECT_FALSE(is_complete) << filler;
        begin();
        answer(filler, framing::delimited, false);
        EXPECT_FALSE(is_complete) << filler;
    }
}

// The caller itself resumes the stream, so that even the first attempt need not send an event.
TEST_F(stream_cut, a_connection_that_closes_before_the_first_event_of_a_callers_resumption_is_cut)
{
    clock.advance(std::chrono::minutes{1});
    caller_request request;
    request.id = caller_attempt_id{"r" + std::to_string(++last_number)};
    request.method = "POST";
    request.target = "/p/x";
    request.host = "three";
    request.api_key = "key";
    request.last_event_id = 2;
    take(request_arrived{exchange_number{last_number}, request});
    answer("", framing::closed, true);
    EXPECT_FALSE(has_ended);
    answer(event(3), framing::closed, false);
    EXPECT_TRUE(is_complete);
}

TEST_F(stream_cut, a_run_that_starts_from_the_first_event_sends_none_twice_and_must_come_as_far)
{
    begin();
    answer(event(1) + event(2) + event(3), framing::reset, true);
    answer(event(1) + event(2), framing::delimited, false);
    EXPECT_FALSE(is_complete);
    answer(event(1) + event(2) + event(3) + event(4), framing::delimited, false);
    EXPECT_TRUE(is_complete);
    EXPECT_EQ(received, event(1) + event(2) + event(3) + event(4));
}

// After an event without a number a target cannot know where to go on.
TEST_F(stream_cut, a_stream_is_not_resumed_after_an_event_without_a_number)
{
    begin();
    answer(event(1) + "id: x\ndata: y\n\n", framing::reset, true);
    EXPECT_TRUE(has_ended);
    EXPECT_FALSE(is_complete);
}

TEST_F(stream_cut, only_an_answer_of_the_same_kind_goes_on_with_a_stream)
{
    auto other_type = head(false);
    other_type.headers = {{"Content-Type", "application/json"}};
    auto no_content = head(false);
    no_content.status = 204;
    for (const auto& other : {other_type, no_content}) {
        begin();
        answer(event(1), framing::reset, true);
        const auto key = attempt.key;
        auto foreign = other;
        foreign.answered_attempt = success().answered_attempt;
        take(answer_begun{key, std::move(foreign)});
        EXPECT_NE(find<cancel_attempt>(), nullptr);
        EXPECT_FALSE(is_complete);
        answer(event(2), framing::delimited, false);
        EXPECT_TRUE(is_complete);
        EXPECT_EQ(received, event(1) + event(2));
    }
}

/// Plays a stream of three events that is cut twice, and then sent whole or cut as well.
struct cut_search : stream_cut {
    /// Returns what a target has left to send after the event that the attempt names.
    std::string left() const
    {
        std::string bytes;
        for (int n = 1 + static_cast<int>(attempt.parameters.resume_after.value_or(0)); n <= 3;
             ++n) {
            bytes += event(n);
        }
        return bytes;
    }

    /// Answers the current attempt up to a cut. Returns whether its end says falsely, by its
    /// framing, that the stream is whole: the connection closes between two events.
    bool answer_up_to(std::size_t cut, framing how)
    {
        const auto all = left();
        const auto bytes = all.substr(0, cut);
        const bool is_cut = bytes.size() < all.size();
        const bool is_misleading = is_cut && how == framing::closed && bytes.ends_with("\n\n");
        answer(bytes, how, is_cut);
        return is_misleading;
    }
};

// What the caller gets is a prefix of the stream, and complete only if it is all of it.
TEST_F(cut_search, a_stream_cut_at_any_byte_of_three_attempts_is_complete_only_if_whole)
{
    const auto whole = event(1) + event(2) + event(3);
    std::size_t played = 0;
    std::size_t completed = 0;
    const auto play = [&](framing how, std::size_t first, std::size_t second, std::size_t third) {
        begin();
        bool is_misled = answer_up_to(first, how);
        is_misled = (!has_ended && answer_up_to(second, how)) || is_misled;
        is_misled = (!has_ended && answer_up_to(third, how)) || is_misled;
        ++played;
        completed += is_complete ? 1 : 0;
        ASSERT_TRUE(has_ended);
        ASSERT_TRUE(whole.starts_with(received));
        ASSERT_TRUE(!is_complete || is_misled || received == whole) << received;
        ASSERT_TRUE(third < whole.size() || is_misled || is_complete) << received;
    };
    for (const auto how : {framing::delimited, framing::closed, framing::reset}) {
        for (std::size_t first = 0; first <= whole.size(); ++first) {
            for (std::size_t second = 0; second <= whole.size(); ++second) {
                for (const std::size_t third : {std::size_t{0}, std::size_t{5}, whole.size()}) {
                    play(how, first, second, third);
                    ASSERT_FALSE(HasFatalFailure())
                        << "framing " << static_cast<int>(how) << ", cuts " << first << ' '
                        << second << ' ' << third;
                }
            }
        }
    }
    std::cout << "played=" << played << " completed=" << completed << "\n";
}

} // namespace
} // namespace endivelatch

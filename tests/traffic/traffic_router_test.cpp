#include "router_fixture.hpp"

#include <algorithm>

namespace endivelatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Load pattern: requests arrive at a router that has just started, as after a power failure of the
// whole site. They must not be refused while configuration and targets are being loaded.
TEST(traffic_router, early_requests_wait_for_configuration_and_targets)
{
    manual_clock clock;
    traffic_router router{traffic_settings{}};
    for (std::uint64_t n = 1; n <= 50; ++n) {
        caller_request request;
        request.id = caller_attempt_id{std::to_string(n)};
        request.host = "safe";
        request.target = "/p/x";
        request.api_key = "key";
        EXPECT_TRUE(
            router.handle(request_arrived{exchange_number{n}, request}, clock.now()).empty());
    }
    router.handle(caller_disconnected{exchange_number{7}}, clock.now());
    clock.advance(milliseconds{20});
    router.handle(configuration_changed{make_configuration()}, clock.now());
    auto effects = router.handle(targets_changed{{make_target(1), make_target(2)}, 1}, clock.now());
    const auto started = std::count_if(effects.begin(), effects.end(), [](const auto& it) {
        return std::holds_alternative<start_attempt>(it);
    });
    EXPECT_EQ(started, 49);
}

TEST(traffic_router, refuses_with_503_while_configuration_and_targets_stay_unknown)
{
    manual_clock clock;
    traffic_router router{traffic_settings{}};
    caller_request request;
    request.host = "safe";
    request.target = "/p/x";
    auto effects = router.handle(request_arrived{exchange_number{1}, request}, clock.now());
    EXPECT_TRUE(effects.empty());
    ASSERT_TRUE(router.next_timer());
    clock.advance(*router.next_timer() - clock.now());
    effects = router.handle(timer_due{}, clock.now());
    const auto* refusal = std::get_if<refuse_request>(&effects.back());
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->status, 503);
    EXPECT_TRUE(refusal->retry_after);
    EXPECT_EQ(router.active(), 0U);
}

TEST_F(router_fixture, refuses_unknown_routes_and_keys)
{
    arrive("elsewhere");
    EXPECT_EQ(find<refuse_request>()->status, 404);
    caller_request request;
    request.host = "safe";
    request.target = "/p/x";
    dispatch(request_arrived{exchange_number{90}, request});
    EXPECT_EQ(find<refuse_request>()->status, 401);
    request.api_key = "withdrawn";
    dispatch(request_arrived{exchange_number{91}, request});
    EXPECT_EQ(find<refuse_request>()->status, 401);
}

TEST_F(router_fixture, sends_the_parameters_of_route_and_organisation)
{
    arrive("unsafe", milliseconds{700});
    const auto* sent = find<start_attempt>();
    ASSERT_NE(sent, nullptr);
    EXPECT_EQ(sent->parameters.organisation.str(), "org");
    EXPECT_EQ(sent->parameters.time_left, milliseconds{700});
    EXPECT_FALSE(sent->is_idempotent);
    EXPECT_EQ(sent->request->target, "/p/x?y");
    arrive("unsafe", seconds{60});
    EXPECT_EQ(find<start_attempt>()->parameters.time_left, test_timeout);
}

TEST_F(router_fixture, a_plain_answer_is_passed_on_whole)
{
    const auto number = arrive("unsafe");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    EXPECT_EQ(find<begin_answer>(), nullptr);
    dispatch(answer_bytes{key, "body"});
    EXPECT_EQ(find<begin_answer>(), nullptr);
    dispatch(answer_finished{key});
    ASSERT_NE(find<begin_answer>(), nullptr);
    EXPECT_EQ(find<begin_answer>()->length, 4U);
    EXPECT_EQ(find<begin_answer>()->headers, success().headers);
    EXPECT_EQ(find<send_bytes>()->bytes, "body");
    EXPECT_EQ(find<end_answer>()->exchange, number);
    EXPECT_EQ(router.active(), 0U);
    EXPECT_FALSE(router.next_timer());
}

TEST_F(router_fixture, the_service_time_is_estimated_from_answers_and_shown)
{
    for (int n = 0; n < 50; ++n) {
        arrive("unsafe");
        const auto key = started();
        clock.advance(milliseconds{30});
        dispatch(answer_begun{key, success()});
        dispatch(answer_bytes{key, "body"});
        dispatch(answer_finished{key});
    }
    router.update_work_gauges();
    EXPECT_EQ(router.metrics().value("service_time_us", "pool=\"pool\""), 30'000);
}

TEST_F(router_fixture, an_unsafe_request_is_sent_again_only_when_it_was_not_run)
{
    arrive("unsafe");
    const auto first = *find<start_attempt>();
    dispatch(attempt_broken{first.key, attempt_stage::not_sent, "refused"});
    ASSERT_NE(find<start_attempt>(), nullptr);
    const auto second = *find<start_attempt>();
    EXPECT_NE(second.parameters.expected_target, first.parameters.expected_target);
    dispatch(answer_begun{second.key, not_run()});
    ASSERT_NE(find<start_attempt>(), nullptr);
    const auto third = started();
    dispatch(attempt_broken{third, attempt_stage::sent, "reset"});
    EXPECT_EQ(find<start_attempt>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
    EXPECT_FALSE(find<refuse_request>()->retry_after);
}

// A faulty target writes an earlier refusal once more on a kept connection.
TEST_F(router_fixture, a_refusal_without_the_id_of_its_request_does_not_count)
{
    arrive("unsafe");
    auto refusal = not_run();
    refusal.answered_attempt = caller_attempt_id{};
    dispatch(answer_begun{started(), refusal});
    EXPECT_EQ(find<start_attempt>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

TEST_F(router_fixture, a_success_without_the_id_of_its_request_is_not_forwarded)
{
    arrive("unsafe");
    auto answer = success();
    answer.answered_attempt = caller_attempt_id{};
    dispatch(answer_begun{started(), answer});
    EXPECT_EQ(find<begin_answer>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

// An earlier refusal that arrives first must not end the attempt; the expected answer follows.
TEST_F(router_fixture, a_refusal_of_an_earlier_request_is_skipped)
{
    arrive("unsafe");
    const auto key = started();
    auto refusal = not_run();
    refusal.answered_attempt = caller_attempt_id{"r0"};
    dispatch(answer_begun{key, refusal});
    EXPECT_NE(find<skip_answer>(), nullptr);
    EXPECT_EQ(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<refuse_request>(), nullptr);
    dispatch(answer_begun{key, success()});
    dispatch(answer_finished{key});
    ASSERT_NE(find<begin_answer>(), nullptr);
    EXPECT_EQ(find<begin_answer>()->status, 200);
}

// After a stream has begun, no status, head or text of another answer may follow in it.
TEST_F(router_fixture, an_error_of_the_next_target_does_not_enter_a_stream_that_has_begun)
{
    for (const bool is_signed : {true, false}) {
        for (const int status : {500, 503, 404, 200, 302}) {
            if (status == 200 && is_signed) {
                continue;
            }
            SCOPED_TRACE(std::to_string(status) + (is_signed ? " signed" : ""));
            arrive("resumable");
            const auto first = started();
            dispatch(answer_begun{first, success()});
            dispatch(answer_bytes{first, "id: 1\ndata: a\n\n"});
            ASSERT_NE(find<send_bytes>(), nullptr);
            dispatch(attempt_broken{first, attempt_stage::answering, "reset"});
            const auto second = started();
            ASSERT_NE(find<start_attempt>(), nullptr);
            auto answer = success();
            answer.status = status;
            answer.is_signed = is_signed;
            dispatch(answer_begun{second, answer});
            EXPECT_EQ(find<send_bytes>(), nullptr);
            EXPECT_EQ(find<begin_answer>(), nullptr);
            EXPECT_EQ(find<end_answer>(), nullptr);
            EXPECT_NE(find<abort_answer>(), nullptr);
            dispatch(answer_bytes{second, "HTTP/1.1 500 error\n\n"});
            EXPECT_EQ(find<send_bytes>(), nullptr);
            dispatch(answer_finished{second});
            EXPECT_EQ(find<end_answer>(), nullptr);
        }
    }
}

// The refused attempt has not run, so a third target may go on with the stream.
TEST_F(router_fixture, a_refused_resumption_does_not_end_a_stream_as_complete)
{
    arrive("resumable");
    const auto first = started();
    dispatch(answer_begun{first, success()});
    dispatch(answer_bytes{first, "id: 1\ndata: a\n\n"});
    dispatch(attempt_broken{first, attempt_stage::answering, "reset"});
    dispatch(answer_begun{started(), not_run()});
    EXPECT_EQ(find<end_answer>(), nullptr);
    EXPECT_EQ(find<begin_answer>(), nullptr);
    ASSERT_NE(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<start_attempt>()->parameters.resume_after, 1U);
}

TEST_F(router_fixture, an_incomplete_unsafe_answer_is_not_retried)
{
    arrive("unsafe");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "bo"});
    dispatch(attempt_broken{key, attempt_stage::answering, "reset"});
    EXPECT_EQ(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

TEST_F(router_fixture, a_safe_request_is_retried_at_another_target_up_to_its_max_attempts)
{
    arrive("safe");
    const auto first = *find<start_attempt>();
    dispatch(attempt_broken{first.key, attempt_stage::sent, "reset"});
    ASSERT_NE(find<start_attempt>(), nullptr);
    const auto second = *find<start_attempt>();
    EXPECT_NE(second.parameters.expected_target, first.parameters.expected_target);
    dispatch(attempt_broken{second.key, attempt_stage::sent, "reset"});
    EXPECT_EQ(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

TEST_F(router_fixture, a_safe_request_is_retried_when_its_target_is_silent)
{
    arrive("safe");
    const auto first = started();
    advance(test_objective * traffic_router::hung_after_objectives);
    ASSERT_NE(find<cancel_attempt>(), nullptr);
    EXPECT_EQ(find<cancel_attempt>()->key, first);
    EXPECT_NE(find<start_attempt>(), nullptr);
}

TEST_F(router_fixture, an_unsafe_request_waits_for_a_silent_target_until_its_timeout)
{
    arrive("unsafe");
    advance(test_timeout - milliseconds{1});
    EXPECT_TRUE(effects.empty());
    advance(milliseconds{1});
    EXPECT_EQ(find<refuse_request>()->status, 504);
    EXPECT_NE(find<cancel_attempt>(), nullptr);
    EXPECT_EQ(router.active(), 0U);
}

TEST_F(router_fixture, a_short_timeout_does_not_count_as_a_failure_of_the_target)
{
    const auto rounds = target_state::ejection_threshold * 4;
    for (std::uint32_t i = 0; i < rounds; ++i) {
        arrive("unsafe", test_objective * 2);
        advance(test_objective * 2);
        EXPECT_EQ(find<refuse_request>()->status, 504);
    }
    EXPECT_EQ(router.metrics().value("ejections"), 0);
}

TEST_F(router_fixture, an_error_status_of_a_target_is_passed_on)
{
    arrive("unsafe");
    const auto key = started();
    auto answer = success();
    answer.status = 500;
    dispatch(answer_begun{key, answer});
    dispatch(answer_finished{key});
    ASSERT_NE(find<begin_answer>(), nullptr);
    EXPECT_EQ(find<begin_answer>()->status, 500);
}

TEST_F(router_fixture, a_not_run_status_is_not_passed_on_for_a_request_that_ran)
{
    for (const int status : {408, 429, 503}) {
        arrive("unsafe");
        auto answer = success();
        answer.status = status;
        dispatch(answer_begun{started(), answer});
        ASSERT_NE(find<refuse_request>(), nullptr) << status;
        EXPECT_EQ(find<refuse_request>()->status, 502);
    }
}

TEST_F(router_fixture, a_success_without_signature_is_not_passed_on)
{
    arrive("unsafe");
    auto answer = success();
    answer.is_signed = false;
    dispatch(answer_begun{started(), answer});
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

TEST_F(router_fixture, an_answer_to_another_request_is_skipped)
{
    arrive("unsafe");
    const auto key = started();
    auto other = success();
    other.answered_attempt = caller_attempt_id{"another"};
    dispatch(answer_begun{key, other});
    ASSERT_NE(find<skip_answer>(), nullptr);
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "own"});
    dispatch(answer_finished{key});
    EXPECT_EQ(find<send_bytes>()->bytes, "own");
}

TEST_F(router_fixture, a_stream_is_passed_on_as_it_arrives)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "id: 1\nda"});
    ASSERT_NE(find<begin_answer>(), nullptr);
    EXPECT_FALSE(find<begin_answer>()->length);
    EXPECT_EQ(find<send_bytes>()->bytes, "id: 1\nda");
    dispatch(attempt_broken{key, attempt_stage::answering, "reset"});
    EXPECT_NE(find<abort_answer>(), nullptr);
    EXPECT_EQ(find<start_attempt>(), nullptr);
}

TEST_F(router_fixture, a_resumable_stream_continues_after_the_last_complete_event)
{
    arrive("resumable");
    const auto first = started();
    dispatch(answer_begun{first, success()});
    dispatch(answer_bytes{first, "id: 1\ndata: a\n\nid: 2\nda"});
    EXPECT_EQ(find<send_bytes>()->bytes, "id: 1\ndata: a\n\n");
    dispatch(attempt_broken{first, attempt_stage::answering, "reset"});
    ASSERT_NE(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<start_attempt>()->parameters.resume_after, 1U);
    const auto second = started();
    auto answer = success();
    answer.headers = {{"X-Second", "1"}};
    dispatch(answer_begun{second, answer});
    dispatch(answer_bytes{second, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"});
    EXPECT_EQ(find<begin_answer>(), nullptr);
    EXPECT_EQ(find<send_bytes>()->bytes, "id: 2\ndata: b\n\n");
    dispatch(answer_finished{second});
    EXPECT_NE(find<end_answer>(), nullptr);
}

TEST_F(router_fixture, a_stream_that_ends_within_an_event_is_resumed)
{
    arrive("resumable");
    auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "id: 1\nda"});
    dispatch(answer_finished{key});
    EXPECT_EQ(find<end_answer>(), nullptr);
    ASSERT_NE(find<start_attempt>(), nullptr);
}

// An answer without a length ends with its connection, which may be closed within an event.
TEST_F(router_fixture, a_stream_that_cannot_be_resumed_and_ends_within_an_event_is_aborted)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "id: 1\ndata: a\n\nid: 2\nda"});
    dispatch(answer_finished{key});
    EXPECT_EQ(find<end_answer>(), nullptr);
    EXPECT_NE(find<abort_answer>(), nullptr);
}

TEST_F(router_fixture, a_stream_that_ends_after_a_complete_event_is_complete)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "id: 1\r\ndata: a\r\n\r"});
    dispatch(answer_bytes{key, "\nid: 2\ndata: b\n\n"});
    dispatch(answer_finished{key});
    EXPECT_NE(find<end_answer>(), nullptr);
}

// A target may send bytes without ever ending an event.
TEST_F(router_fixture, a_stream_with_an_endless_event_is_resumed_at_another_target)
{
    arrive("resumable");
    const auto first = started();
    dispatch(answer_begun{first, success()});
    dispatch(answer_bytes{first, "id: 1\ndata: a\n\n"});
    dispatch(answer_bytes{first, std::string(traffic_router::max_event_bytes, 'x')});
    EXPECT_EQ(find<cancel_attempt>(), nullptr);
    dispatch(answer_bytes{first, "x"});
    EXPECT_NE(find<cancel_attempt>(), nullptr);
    ASSERT_NE(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<start_attempt>()->parameters.resume_after, 1U);
}

TEST_F(router_fixture, a_disconnected_caller_cancels_its_attempt)
{
    const auto number = arrive("stream");
    const auto key = started();
    dispatch(caller_disconnected{number});
    EXPECT_EQ(find<cancel_attempt>()->key, key);
    EXPECT_EQ(router.active(), 0U);
    dispatch(answer_begun{key, success()});
    EXPECT_TRUE(effects.empty());
}

TEST_F(router_fixture, failures_of_targets_are_shared)
{
    arrive("unsafe");
    const auto id = find<start_attempt>()->parameters.expected_target;
    dispatch(attempt_broken{started(), attempt_stage::sent, "connection reset"});
    ASSERT_NE(find<share_failure>(), nullptr);
    EXPECT_EQ(find<share_failure>()->target, key_of(id));
}

TEST_F(router_fixture, a_refusal_by_a_full_target_is_no_failure)
{
    arrive("unsafe");
    dispatch(answer_begun{started(), not_run()});
    EXPECT_EQ(find<share_failure>(), nullptr);
}

TEST_F(router_fixture, failures_of_other_routers_keep_requests_away_from_a_target)
{
    const auto lost = make_target(1);
    failures_received received;
    for (std::uint32_t n = 1; n <= 2; ++n) {
        received.failures.push_back({key_of(lost.id), router_key{n}, clock.now()});
    }
    received.failures.push_back({target_key{999}, router_key{1}, clock.now()}); // Not registered.
    dispatch(std::move(received));
    const auto* line = find<write_log>();
    ASSERT_NE(line, nullptr);
    EXPECT_EQ(line->event.name(), "target_suspected");
    EXPECT_EQ(line->event.field("target"), lost.id.str());
    for (int n = 0; n < 20; ++n) {
        arrive("unsafe");
        EXPECT_NE(find<start_attempt>()->parameters.expected_target, lost.id);
    }
}

// A target may close the connection after the head of an answer without a length.
TEST_F(router_fixture, a_stream_that_ends_before_its_first_event_is_not_complete)
{
    arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_finished{key});
    EXPECT_EQ(find<begin_answer>(), nullptr);
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 502);
}

TEST_F(router_fixture, a_leaving_target_gets_no_new_requests)
{
    targets_changed changed;
    for (int n = 1; n <= 4; ++n) {
        changed.targets.push_back(make_target(n));
        changed.targets.back().is_leaving = n != 3;
    }
    dispatch(std::move(changed));
    for (int i = 0; i < 5; ++i) {
        arrive("unsafe");
        EXPECT_EQ(find<start_attempt>()->parameters.expected_target.str(), "t3");
    }
}

TEST_F(router_fixture, a_stopping_router_refuses_requests_that_would_outlive_it)
{
    dispatch(stop_announced{clock.now() + seconds{4}});
    arrive("stream");
    EXPECT_NE(find<start_attempt>(), nullptr);
    clock.advance(traffic_router::stop_grace_period + milliseconds{1});
    arrive("stream");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
    arrive("unsafe", milliseconds{500});
    EXPECT_NE(find<start_attempt>(), nullptr);
}

// Requests that were taken in a planned stop were cut without an answer at its end.
TEST_F(router_fixture, open_requests_get_a_true_answer_before_the_process_exits)
{
    const auto waiting = arrive("unsafe");
    const auto begun = arrive("stream");
    const auto key = started();
    dispatch(answer_begun{key, success()});
    dispatch(answer_bytes{key, "id: 1\ndata: x\n\n"});
    dispatch(stop_announced{clock.now() + seconds{4}});
    dispatch(exit_announced{});
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->exchange, waiting);
    EXPECT_EQ(find<refuse_request>()->status, 502); // It may have run.
    ASSERT_NE(find<abort_answer>(), nullptr);
    EXPECT_EQ(find<abort_answer>()->exchange, begun);
    EXPECT_EQ(router.active(), 0U);
}

TEST_F(router_fixture, a_router_with_little_time_to_stop_refuses_sooner)
{
    dispatch(stop_announced{clock.now() + seconds{1}});
    clock.advance(milliseconds{501});
    arrive("stream");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
}

TEST_F(router_fixture, retries_stay_within_the_share_of_this_router)
{
    // Burst: 0.8 x 10 retries shared by two routers. Share: 0.2 x 0.8 retries per request.
    dispatch(fleet_changed{2, {}});
    int retries = 0;
    constexpr int requests = 36;
    for (int i = 0; i < requests; ++i) {
        arrive("unsafe");
        dispatch(answer_begun{started(), not_run()});
        while (find<start_attempt>() != nullptr) {
            ++retries;
            dispatch(answer_begun{started(), not_run()});
        }
        EXPECT_EQ(find<refuse_request>()->status, 503);
        EXPECT_TRUE(find<refuse_request>()->retry_after);
        clock.advance(milliseconds{250});
    }
    EXPECT_GE(retries, 4);
    EXPECT_LE(retries, 0.2 * 0.8 * requests + 4);
}

} // namespace
} // namespace endivelatch

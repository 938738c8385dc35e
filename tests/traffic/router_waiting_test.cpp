#include "traffic/router_fixture.hpp"

#include <algorithm>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

/// A router whose requests wait for room, with three targets of a plain service.
class waiting_fixture : public router_fixture {
protected:
    waiting_fixture() { start(true); }

    /// Starts the router anew, with or without waits.
    void start(bool waits)
    {
        traffic_settings settings;
        settings.waits_for_room = waits;
        router = traffic_router{settings};
        dispatch(configuration_changed{make_configuration()});
        dispatch(targets_changed{{make_target(1), make_target(2), make_target(3)}, 1});
    }

    /// Dispatches a report by another router that each target holds the given number of requests.
    void report_load(std::uint32_t in_flight)
    {
        loads_received loads;
        for (int n = 1; n <= 3; ++n) {
            loads.loads.push_back({key_of(make_target(n).id), in_flight, clock.now()});
        }
        dispatch(std::move(loads));
    }

    /// Returns the events that were logged with the last effects under the given name.
    int logged(std::string_view name) const
    {
        return static_cast<int>(std::count_if(effects.begin(), effects.end(), [&](const auto& it) {
            const auto* line = std::get_if<write_log>(&it);
            return line != nullptr && line->event.name() == name;
        }));
    }

    static constexpr std::uint32_t busy = 60;
};

// Load: all targets of a plain service hold more than they can answer in time.
TEST_F(waiting_fixture, a_request_waits_while_all_targets_are_busy_and_goes_to_the_first_with_room)
{
    report_load(busy);
    arrive("safe");
    EXPECT_EQ(find<start_attempt>(), nullptr);
    EXPECT_EQ(find<refuse_request>(), nullptr);
    EXPECT_EQ(router.waiting(), 1U);
    EXPECT_EQ(logged("request_waits"), 1);
    clock.advance(20ms);
    report_load(1);
    ASSERT_NE(find<start_attempt>(), nullptr);
    EXPECT_EQ(logged("wait_ended"), 1);
    EXPECT_EQ(router.waiting(), 0U);
}

// Load: the same, without an end. The objective is 100 ms, of which a target takes half.
TEST_F(waiting_fixture, a_request_is_refused_at_the_moment_at_which_it_cannot_be_in_time)
{
    const auto start = clock.now();
    report_load(busy);
    arrive("unsafe");
    while (router.waiting() > 0 && clock.now() < start + test_timeout) {
        report_load(busy);
        advance(*router.next_timer() - clock.now());
    }
    const auto* refusal = find<refuse_request>();
    ASSERT_NE(refusal, nullptr);
    EXPECT_EQ(refusal->status, 503);
    EXPECT_GE(refusal->retry_after, traffic_router::full_retry_after);
    EXPECT_EQ(clock.now() - start, 30ms);
    EXPECT_EQ(router.active(), 0U);
}

// Load: callers that are refused together.
TEST_F(waiting_fixture, refused_callers_are_told_to_return_at_different_times)
{
    std::set<duration> times;
    report_load(busy);
    for (int n = 0; n < 20; ++n) {
        arrive("unsafe");
    }
    clock.advance(30ms);
    dispatch(timer_due{});
    for (const auto& it : effects) {
        if (const auto* refusal = std::get_if<refuse_request>(&it)) {
            times.insert(*refusal->retry_after);
            EXPECT_GE(*refusal->retry_after, traffic_router::full_retry_after);
            EXPECT_LE(*refusal->retry_after, test_timeout / 3);
        }
    }
    EXPECT_GT(times.size(), 15U);
}

TEST_F(waiting_fixture, a_request_that_may_have_run_does_not_wait)
{
    arrive("safe");
    const auto key = started();
    report_load(busy);
    dispatch(attempt_broken{key, attempt_stage::sent, "reset", false});
    EXPECT_EQ(router.waiting(), 0U);
}

TEST_F(waiting_fixture, a_request_does_not_wait_for_an_obstacle_that_outlasts_it)
{
    for (int n = 0; n < 3; ++n) {
        arrive("unsafe");
        auto refusal = not_run();
        refusal.pause = duration{10s};
        // The request goes on to the next target until all have asked for a pause.
        while (const auto* attempt = find<start_attempt>()) {
            dispatch(answer_begun{attempt->key, refusal});
        }
    }
    EXPECT_EQ(router.waiting(), 0U);
    arrive("unsafe");
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(router.waiting(), 0U);
}

TEST_F(waiting_fixture, a_caller_that_leaves_gives_up_its_place)
{
    report_load(busy);
    const auto number = arrive("safe");
    dispatch(caller_disconnected{number});
    EXPECT_EQ(router.waiting(), 0U);
    EXPECT_EQ(router.active(), 0U);
}

TEST_F(waiting_fixture, waiting_requests_get_their_answer_when_the_router_exits)
{
    report_load(busy);
    arrive("safe");
    dispatch(stop_announced{clock.now() + 8s});
    EXPECT_EQ(router.waiting(), 1U);
    dispatch(exit_announced{});
    ASSERT_NE(find<refuse_request>(), nullptr);
    EXPECT_EQ(find<refuse_request>()->status, 503);
    EXPECT_EQ(router.waiting(), 0U);
}

// Load: requests arrive while others wait. They do not overtake those that wait.
TEST_F(waiting_fixture, a_new_request_does_not_overtake_one_that_waits)
{
    report_load(busy);
    const auto first = arrive("safe");
    const auto second = arrive("safe");
    EXPECT_EQ(router.waiting(), 2U);
    clock.advance(20ms);
    report_load(0);
    std::vector<exchange_number> order;
    for (const auto& it : effects) {
        if (const auto* attempt = std::get_if<start_attempt>(&it)) {
            order.push_back(attempt->key.exchange);
        }
    }
    EXPECT_EQ(order, (std::vector{first, second}));
}

// Load: many requests with large bodies while all targets are busy.
TEST_F(waiting_fixture, the_number_of_waiting_requests_is_bounded)
{
    report_load(busy);
    int refused = 0;
    for (std::size_t n = 0; n < waiting_queue::max_requests + 50; ++n) {
        arrive("safe");
        refused += find<refuse_request>() != nullptr ? 1 : 0;
    }
    EXPECT_EQ(router.waiting(), waiting_queue::max_requests);
    EXPECT_EQ(refused, 50);
}

// Load: any. Routers whose settings do not ask for it serve as before: nothing waits, and the least
// loaded target gets the request although it is busy.
TEST_F(waiting_fixture, nothing_waits_unless_the_settings_ask_for_it)
{
    start(false);
    report_load(busy);
    arrive("safe");
    EXPECT_NE(find<start_attempt>(), nullptr);
    EXPECT_EQ(router.waiting(), 0U);
    for (int n = 0; n < 40; ++n) {
        arrive("unsafe");
        while (const auto* attempt = find<start_attempt>()) {
            dispatch(answer_begun{attempt->key, not_run()});
        }
        const auto* refusal = find<refuse_request>();
        ASSERT_NE(refusal, nullptr);
        EXPECT_EQ(refusal->retry_after, traffic_router::full_retry_after);
    }
}

} // namespace
} // namespace endivelatch

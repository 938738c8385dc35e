#include "endivelatch/net/timer.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

TEST(event_loop, runs_posted_calls_before_waiting)
{
    event_loop loop;
    int calls = 0;
    loop.post([&] {
        ++calls;
        loop.post([&] {
            ++calls;
            loop.stop();
        });
    });
    loop.run();
    EXPECT_EQ(calls, 2);
}

TEST(timer, expires_in_order_and_not_after_stop)
{
    event_loop loop;
    std::string order;
    timer stopped{loop, [&] { order += 's'; }};
    timer late{loop, [&] {
                   order += 'l';
                   loop.stop();
               }};
    timer early{loop, [&] {
                    order += 'e';
                    stopped.stop();
                }};
    late.start(std::chrono::milliseconds{30});
    stopped.start(std::chrono::milliseconds{20});
    early.start(std::chrono::milliseconds{1});
    loop.run();
    EXPECT_EQ(order, "el");
}

// A router that forwards bytes without end handles events at intervals below the minimum delay.
TEST(timer, expires_although_it_is_set_again_for_each_event_of_a_busy_loop)
{
    event_loop loop;
    bool has_expired = false;
    timer due{loop, [&] { has_expired = true; }};
    const auto instant = loop.now();
    const auto ends_at = instant + std::chrono::seconds{5};
    // Calls that are posted again and again keep the loop from waiting.
    const std::function<void()> handle_event = [&] {
        due.start_for(instant, std::chrono::milliseconds{1});
        loop.post(handle_event);
    };
    loop.post(handle_event);
    while (!has_expired && loop.now() < ends_at) {
        loop.run_once();
    }
    EXPECT_TRUE(has_expired);
}

} // namespace
} // namespace endivelatch

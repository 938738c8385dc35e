#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <csignal>
#include <string>

#include <gtest/gtest.h>

/// A planned stop of a router while its targets are slow.
namespace endivelatch::serve {
namespace {

using fault = standins::replica_standin::fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct stopping_router : testing::Test {
    serve_fleet fleet{1};
};

// Requests that were still open at the end of the grace period were cut without an answer.
TEST_F(stopping_router, answers_open_requests_before_it_exits)
{
    for (const auto& it : fleet.replicas) {
        it->set_fault(fault::hang);
    }
    fleet.routers.at(1)->send(SIGTERM);
    run_for(fleet.loop, milliseconds{1'500}); // `GraceS` is 4, and the answer may take longer.
    const auto id = fleet.send(1, "/long/x", "late");
    const auto& response = fleet.wait_for_response(id);
    EXPECT_EQ(response.status, 502);
    EXPECT_TRUE(response.is_complete);
    run_until(fleet.loop, [&] { return fleet.routers.at(1)->exit_code() >= 0; });
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), 0);
}

// A slow caller is still being sent an answer when no request is open any more.
TEST_F(stopping_router, writes_whole_answers_to_slow_callers_before_it_exits)
{
    constexpr std::size_t size = 8'000'000;
    for (const auto& it : fleet.replicas) {
        it->set_body(std::string(size, 'x'));
    }
    std::string received;
    bool is_closed = false;
    tcp_stream caller{fleet.loop, fleet.frontend_endpoint(1),
                      tcp_stream_callbacks{{},
                                           [&](std::string_view bytes) { received += bytes; },
                                           {},
                                           [&](const std::string&) { is_closed = true; }}};
    caller.out() = "POST /long/x HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: a\r\n"
                   "Authorization: Token key\r\nContent-Length: 0\r\n\r\n";
    run_until(fleet.loop, [&] { return !received.empty(); });
    caller.pause_reading(true);
    fleet.routers.at(1)->send(SIGTERM);
    run_for(fleet.loop, seconds{3});
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), -1);
    caller.pause_reading(false);
    run_until(fleet.loop, [&] { return is_closed; });
    EXPECT_GE(received.size(), size);
    run_until(fleet.loop, [&] { return fleet.routers.at(1)->exit_code() >= 0; });
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), 0);
}

} // namespace
} // namespace endivelatch::serve

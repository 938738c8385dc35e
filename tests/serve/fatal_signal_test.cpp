#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <csignal>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

// The users' record of processes that ended by themselves did not show what they did last.
TEST(fatal_signal, is_logged_with_the_last_event_and_ends_the_process)
{
    serve_fleet fleet{1};
    EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", "a1").status, 200);
    fleet.routers.at(1)->send(SIGSEGV);
    run_until(fleet.loop, [&] { return fleet.routers.at(1)->exit_code() >= 0; });
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), 128 + SIGSEGV);
    const auto log = fleet.log(1);
    EXPECT_NE(log.find("event=fatal_signal signal=SIGSEGV last_event="), std::string::npos) << log;
}

} // namespace
} // namespace endivelatch::serve

#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <string>

#include <gtest/gtest.h>

/// Entries of another writer among the registrations. They name no target; the others hold.
namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;

struct one_router_with_odd_entries : testing::Test {
    /// Writes an entry with the text and expects that the router serves on, also after a restart.
    void expect_served_beside(const std::string& text)
    {
        fleet.store.put_text("servers", "x-other", text);
        run_for(fleet.loop, milliseconds{500});
        EXPECT_EQ(fleet.routers.at(1)->exit_code(), -1);
        EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", "a" + std::to_string(++sent)).status, 200);
        fleet.routers.at(1)->kill();
        fleet.start(1);
        fleet.wait_until_ready();
        EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", "a" + std::to_string(++sent)).status, 200);
    }

    serve_fleet fleet{1};
    int sent = 0;
};

// review/1: one entry with a deeply nested field ended all routers, again at each start.
TEST_F(one_router_with_odd_entries, a_deeply_nested_entry_does_not_end_the_router)
{
    constexpr std::size_t depth = 200'000;
    expect_served_beside(R"({"Service":"plain","Zone":)" + std::string(depth, '[') +
                         std::string(depth, ']') + "}");
}

} // namespace
} // namespace endivelatch::serve

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

// review/3: one entry that could not be parsed kept routers from getting ready after a restart.
TEST_F(one_router_with_odd_entries, unreadable_entries_do_not_keep_the_router_from_getting_ready)
{
    for (
        const char* text :
        {"{\"Service\":\"pool\",\"Note\":\"\xff\xfe\"}", R"({"Service":"pool","Note":"\ud800"})",
         R"({"Service":"pool","State":"ready","Slots":1e400})",
         R"({"Service":"pool","State":"ready","Zone":"zone","Slots":6,"Address":"127.0.0.1:99999"})",
         R"({"Service":"pool","State":"ready","Zone":"zone","Slots":-6,"Address":"127.0.0.1:9"})"}) {
        SCOPED_TRACE(text);
        expect_served_beside(text);
    }
}

// The entry that was there before is no longer in the store, so its target gets no more requests.
TEST_F(one_router_with_odd_entries, an_unreadable_entry_replaces_the_registration_of_its_target)
{
    fleet.store.put_text("servers", fleet.replicas[0]->id(), "{\"Service\":\"\xff\"}");
    fleet.store.put_text("servers", fleet.replicas[1]->id(), "{\"Service\":\"\xff\"}");
    run_for(fleet.loop, milliseconds{500});
    for (int n = 0; n < 10; ++n) {
        EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", "b" + std::to_string(n)).status, 200);
    }
    EXPECT_TRUE(fleet.replicas[0]->runs().empty());
    EXPECT_TRUE(fleet.replicas[1]->runs().empty());
    EXPECT_EQ(fleet.replicas[2]->runs().size(), 10U);
}

} // namespace
} // namespace endivelatch::serve

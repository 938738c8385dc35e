#include "router_fixture.hpp"

namespace endivelatch {
namespace {

TEST(traffic_configuration, the_route_with_the_longest_matching_prefix_is_found)
{
    auto longer = make_route("h", request_kind::safe, 1);
    longer.path_prefix = "/p/q/";
    longer.name = "longer";
    const traffic_configuration all{
        traffic_version{1}, {make_route("h", request_kind::safe, 1), longer}, {}, {}, {}};
    EXPECT_EQ(all.find_route("h", "/p/q/r")->name, "longer");
    EXPECT_EQ(all.find_route("h", "/p/q/")->name, "longer");
    EXPECT_EQ(all.find_route("h", "/p/q")->name, "h");
    EXPECT_EQ(all.find_route("h", "/p/")->name, "h");
    EXPECT_EQ(all.find_route("h", "/p"), nullptr);
    EXPECT_EQ(all.find_route("h", "/"), nullptr);
    EXPECT_EQ(all.find_route("other", "/p/q/"), nullptr);
}

TEST(traffic_configuration, weights_split_requests)
{
    auto route = make_route("h", request_kind::safe, 1);
    route.pools = {{pool_id{"a"}, 90}, {pool_id{"b"}, 10}, {pool_id{"c"}, 0}};
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 100; ++i) {
        ++counts[route.pool_for(i).str()];
    }
    EXPECT_EQ(counts["a"], 90);
    EXPECT_EQ(counts["b"], 10);
    EXPECT_EQ(counts["c"], 0);
}

TEST(event_splitter, splits_a_stream_into_complete_events_with_their_ids)
{
    event_splitter splitter;
    EXPECT_TRUE(splitter.feed("id: 7\ndata: x").empty());
    EXPECT_TRUE(splitter.has_partial_event());
    const auto events = splitter.feed("\n\ndata: y\r\n\r\nid:8\n\nid");
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].bytes, "id: 7\ndata: x\n\n");
    EXPECT_EQ(events[0].id, 7U);
    EXPECT_FALSE(events[1].id);
    EXPECT_EQ(events[2].id, 8U);
    splitter.drop_partial_event();
    EXPECT_FALSE(splitter.has_partial_event());
}

} // namespace
} // namespace endivelatch

#include "endivelatch/entry/fleet_status.hpp"

#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

router_status status(const std::string& address, int version, int routers, int connected)
{
    const auto number = [](int n) { return ' ' + std::to_string(n) + '\n'; };
    return {address, "",
            parse_metrics("endivelatch_ready 1\nendivelatch_configuration_version" +
                          number(version) + "endivelatch_live_routers" + number(routers) +
                          "endivelatch_store_connected{kind=\"configuration\"}" +
                          number(connected) + "endivelatch_store_connected{kind=\"targets\"} 1\n")};
}

TEST(fleet_status, parses_counters_and_ignores_other_lines)
{
    const auto values = parse_metrics("# TYPE endivelatch_a counter\nendivelatch_a 7\n"
                                      "endivelatch_b{x=\"y z\"} 8\nendivelatch_c_sum 0.5\nbad\n");
    EXPECT_EQ(values.size(), 2U);
    EXPECT_EQ(values.at("endivelatch_a"), 7);
    EXPECT_EQ(values.at("endivelatch_b{x=\"y z\"}"), 8);
}

TEST(fleet_status, finds_no_problems_in_a_healthy_fleet)
{
    EXPECT_THAT(find_problems({status("a", 4, 2, 1), status("b", 4, 2, 1)}), IsEmpty());
}

TEST(fleet_status, finds_a_router_that_reads_evacuations_and_is_disconnected)
{
    auto reader = status("a", 4, 2, 1);
    const auto added = parse_metrics("endivelatch_store_connected{kind=\"evacuations\"} 0\n");
    reader.values.insert(added.begin(), added.end());
    EXPECT_THAT(find_problems({reader, status("b", 4, 2, 1)}),
                ElementsAre("a: has lost contact with the store (evacuations)"));
}

TEST(fleet_status, finds_routers_that_lag_behind_or_are_disconnected)
{
    EXPECT_THAT(find_problems({status("a", 4, 3, 1), status("b", 3, 3, 0), status("c", 4, 2, 1),
                               router_status{"d", "timed out", {}}}),
                ElementsAre("b: holds configuration 3, others hold 4",
                            "b: has lost contact with the store (configuration)",
                            "c: knows 2 routers, others know 3", "d: does not answer: timed out"));
}

TEST(fleet_status, table_has_a_line_for_each_router)
{
    const auto table = to_table({status("10.0.0.1:9464", 4, 2, 1), {"10.0.0.2:9464", "lost", {}}});
    EXPECT_NE(table.find("10.0.0.1:9464"), std::string::npos);
    EXPECT_NE(table.find("10.0.0.2:9464         -"), std::string::npos);
}

} // namespace
} // namespace endivelatch

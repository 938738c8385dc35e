#include "platform/protocol.hpp"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr const char* complete_settings = R"(
NodeName = "edge-a-1"
Role = "entry"
Ip = "10.1.0.40"
Zone = "zone-a"
Region = "region"
InternalPorts = [7340,7355]
Seeds = ["10.1.0.40:8229","10.2.0.29:8229"]
Unknown = "ignored"
[Listen]
Frontend = "10.1.0.40:8227"
Readiness = "10.1.0.40:8220"
Directory = "10.1.0.40:8224"
[Limits]
LinkMbps = 10.0
[Bounds]
GraceS = 8
RetryBudgetRatio = 0.25
RetrySlack = 52
CapFactor = 3
ColdOverage = 1.5
ColdSlack = 5
ttl_max_s = 5
[Platform]
Address = "10.200.1.7:8223"
)";

TEST(platform_settings, reads_all_fields_that_the_router_uses)
{
    const auto read = platform::protocol::read_settings(complete_settings);
    ASSERT_TRUE(has_value(read)) << to_string(findings_of(read));
    const auto& settings = value_of(read);
    EXPECT_EQ(settings.id.str(), "edge-a-1");
    EXPECT_EQ(settings.domain.str(), "zone-a");
    EXPECT_EQ(settings.requests, (endpoint{"10.1.0.40", 8227}));
    EXPECT_EQ(settings.readiness, (endpoint{"10.1.0.40", 8220}));
    EXPECT_EQ(settings.entries, (endpoint{"10.1.0.40", 8224}));
    EXPECT_EQ(settings.gossip, (endpoint{"10.1.0.40", 7340}));
    // The port of a seed is replaced: routers gossip on the first internal port.
    EXPECT_EQ(settings.seeds.at(1), (endpoint{"10.2.0.29", 7340}));
    EXPECT_EQ(settings.store, (endpoint{"10.200.1.7", 8223}));
    EXPECT_EQ(settings.link_rate, 1'250'000U);
    EXPECT_DOUBLE_EQ(settings.bounds.retry_share, 0.25);
    EXPECT_DOUBLE_EQ(settings.bounds.retry_burst, 52);
    EXPECT_DOUBLE_EQ(settings.bounds.load_bound, 3);
    EXPECT_DOUBLE_EQ(settings.bounds.cold_overage, 1.5);
    EXPECT_DOUBLE_EQ(settings.bounds.cold_slack, 5);
    EXPECT_EQ(settings.bounds.stop_grace, std::chrono::seconds{8});
    EXPECT_LE(settings.bounds.entry_lifetime, std::chrono::seconds{5});
    EXPECT_FALSE(settings.bounds.evacuation_time);
}

TEST(platform_settings, a_bound_of_evacuations_is_optional)
{
    std::string text = complete_settings;
    text.insert(text.find("GraceS"), "EvacuateMs = 5000\n");
    const auto read = platform::protocol::read_settings(text);
    ASSERT_TRUE(has_value(read));
    EXPECT_EQ(value_of(read).bounds.evacuation_time, std::chrono::seconds{5});
}

TEST(platform_settings, requests_wait_for_room_only_if_the_contracts_ask_for_it)
{
    const auto waits = [](const std::string& contracts) {
        const auto read = platform::protocol::read_settings(contracts + complete_settings);
        EXPECT_TRUE(has_value(read));
        return value_of(read).bounds.waits_for_room;
    };
    EXPECT_TRUE(waits("Contracts = [\"base\",\"pressure\"]"));
    EXPECT_FALSE(waits("Contracts = [\"base\",\"engine\"]"));
    EXPECT_FALSE(waits("Contracts = \"pressure\""));
    EXPECT_FALSE(waits(""));
}

TEST(platform_settings, reports_all_errors_with_their_paths)
{
    const auto read = platform::protocol::read_settings(R"(
NodeName = 5
Zone = "z"
Region = "r"
Ip = "10.0.0.1"
InternalPorts = []
[Listen]
Frontend = "nowhere"
[Platform]
[Bounds]
CapFactor = "two"
)");
    ASSERT_FALSE(has_value(read));
    std::set<std::string> paths;
    for (const auto& error : findings_of(read)) {
        paths.insert(error.place);
    }
    EXPECT_EQ(paths, (std::set<std::string>{"NodeName", "InternalPorts", "Listen.Frontend",
                                            "Platform.Address", "Bounds.CapFactor"}));
}

TEST(platform_settings, reports_the_line_of_a_syntax_error)
{
    const auto read = platform::protocol::read_settings("A = 1\nB = = 2\n");
    ASSERT_FALSE(has_value(read));
    EXPECT_EQ(findings_of(read).front().place, "line 2");
}

} // namespace
} // namespace endivelatch

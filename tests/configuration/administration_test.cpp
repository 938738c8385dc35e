#include "configuration/configuration_simulation.hpp"
#include "endivelatch/base/digest.hpp"
#include "endivelatch/configuration/object_names.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace endivelatch {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds settle_time{3};

json last_answer(const configuration_simulation& world)
{
    return json::parse(world.responses().back().json);
}

TEST(administration_test, accepted_is_everywhere_although_the_platform_dies)
{
    configuration_simulation world{1, {}};
    world.change_target(5, "t1", 0);
    while (world.responses().empty()) {
        world.run_for(std::chrono::milliseconds{1});
    }
    ASSERT_EQ(world.responses().back().status, 200);
    world.platform().faults.down = true;
    const object_version version{last_answer(world)["object_version"]};
    world.run_for(settle_time);
    EXPECT_EQ(world.count_holders(config_object_name(config_kind::targets, "t1"), version), 8U);
    world.restart(3);
    world.run_for(settle_time);
    EXPECT_TRUE(world.store(3).ready());
    EXPECT_EQ(world.finish(settle_time).violations(), 0U);
}

/// Returns how many routers hold a change after its platform and router died on acceptance.
std::size_t holders_after_deaths(const configuration_simulation_settings& settings)
{
    configuration_simulation world{1, settings};
    world.change_target(5, "t1", 0);
    while (world.responses().empty()) {
        world.run_for(std::chrono::milliseconds{1});
    }
    EXPECT_EQ(world.responses().back().status, 200);
    const object_version version{last_answer(world)["object_version"]};
    world.platform().faults.down = true;
    world.restart(5);
    world.run_for(settle_time);
    return world.count_holders(config_object_name(config_kind::targets, "t1"), version);
}

TEST(administration_test, accepted_survives_the_platform_and_the_accepting_router)
{
    configuration_simulation_settings settings;
    settings.watchers = 0;
    EXPECT_EQ(holders_after_deaths(settings), settings.routers);
    settings.store.push_peers = 0;
    settings.store.announce_peers = 0;
    settings.administration.wait_for_peer = false;
    EXPECT_EQ(holders_after_deaths(settings), 0U);
}

TEST(administration_test, accepted_is_everywhere_within_the_bound_of_a_large_fleet)
{
    constexpr std::chrono::seconds bound{12};
    configuration_simulation_settings large;
    large.routers = 400;
    large.watchers = 24;
    configuration_simulation world{1, large};
    world.change_target(17, "t1", 0);
    while (world.responses().empty()) {
        world.run_for(std::chrono::milliseconds{1});
    }
    world.platform().faults.down = true;
    world.run_for(bound);
    const object_version version{last_answer(world)["object_version"]};
    EXPECT_EQ(world.count_holders(config_object_name(config_kind::targets, "t1"), version), 400U);
}

TEST(administration_test, one_of_two_conflicting_changes_wins)
{
    constexpr std::uint64_t races = 50;
    for (std::uint64_t seed = 1; seed <= races; ++seed) {
        configuration_simulation world{seed, {}};
        world.change_target(0, "t1", 0);
        world.run_for(settle_time);
        world.change_target(1, "t1");
        world.change_target(2, "t1");
        world.run_for(settle_time);
        const auto report = world.finish(settle_time);
        EXPECT_EQ(report.accepted, 2U) << seed;
        EXPECT_EQ(report.conflicts, 1U) << seed;
        for (const auto& it : world.responses()) {
            const auto body = json::parse(it.json);
            if (it.status == 409) {
                EXPECT_EQ(body["differences"].at(0)["field"], "max_in_flight");
                EXPECT_THAT(body["changed"]["by"], testing::StartsWith("operator"));
            }
        }
    }
}

TEST(administration_test, shows_a_new_organisation_key_once_and_keeps_its_hash)
{
    configuration_simulation world{1, {}};
    world.request(0, "PUT", "/admin/v1/organisations/o1", "{}");
    world.run_for(settle_time);
    const auto key = last_answer(world).at("key").get<std::string>();
    const auto& organisations = world.store(4).current().organisations;
    EXPECT_THAT(organisations.at(organisation_id{"o1"}).key_hashes,
                testing::ElementsAre(to_hex(sha256(key))));
    world.request(4, "GET", "/admin/v1/organisations/o1", "");
    world.run_for(settle_time);
    EXPECT_THAT(world.responses().back().json, testing::Not(testing::HasSubstr(key)));
}

TEST(administration_test, refuses_faults_with_their_places)
{
    configuration_simulation world{1, {}};
    world.change_target(0, "t1", 0);
    world.run_for(settle_time);
    world.request(0, "PUT", "/admin/v1/exceptions/e1",
                  R"({"subject": "pool/p", "setting": "load_bound", "value": 2})");
    world.run_for(settle_time);
    EXPECT_EQ(world.responses().back().status, 422);
    EXPECT_EQ(last_answer(world)["findings"][0]["place"], "config/exceptions#/entries/e1/reason");
    world.request(0, "PUT", "/admin/v1/organisations/o1", R"({"models": ["m9"]})");
    world.run_for(settle_time);
    EXPECT_EQ(world.responses().back().status, 422);
    EXPECT_THAT(world.responses().back().json,
                testing::HasSubstr(R"(model \"m9\" does not exist)"));
}

TEST(administration_test, drains_a_target_by_a_merge_patch)
{
    configuration_simulation world{1, {}};
    world.change_target(0, "t1", 0);
    world.run_for(settle_time);
    world.request(3, "PATCH", "/admin/v1/targets/t1", R"({"draining": true})");
    world.run_for(settle_time);
    EXPECT_TRUE(world.store(7).current().targets.at(target_id{"t1"}).draining);
}

TEST(administration_test, says_not_accepted_while_the_platform_is_down)
{
    configuration_simulation world{1, {}};
    world.platform().faults.down = true;
    world.change_target(0, "t1");
    world.run_for(std::chrono::seconds{15});
    EXPECT_EQ(world.responses().back().status, 503);
    EXPECT_EQ(world.finish(settle_time).violations(), 0U);
}

TEST(configuration_store_test, keeps_the_last_good_version_of_a_malformed_object)
{
    configuration_simulation world{1, {}};
    world.change_target(0, "t1", 0);
    world.run_for(settle_time);
    const auto name = config_object_name(config_kind::targets, "t1");
    const auto good = world.store(0).held(name)->version;
    world.platform().put(name, "{", time_point{} + std::chrono::hours{1});
    world.run_for(settle_time);
    EXPECT_EQ(world.store(0).held(name)->version, good);
    world.restart(2);
    world.run_for(settle_time);
    EXPECT_EQ(world.store(2).held(name)->version, good);
    world.request(2, "PATCH", "/admin/v1/targets/t1", R"({"draining": true})");
    world.run_for(settle_time);
    EXPECT_GT(world.store(0).held(name)->version, good);
}

} // namespace

} // namespace endivelatch

#include "membership/gossip_net.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

const summary_key load_key{summary_kind::target_load, "target-1"};
constexpr duration max_spread_time{3s}; ///< Time within which a change must reach 8 routers.

/// Returns a network of routers that have discovered each other.
std::unique_ptr<gossip_net> settled_net(std::size_t size, std::size_t domains, std::uint64_t seed)
{
    auto net = std::make_unique<gossip_net>(seed);
    for (std::size_t n = 0; n < size; ++n) {
        net->start(n, domains);
    }
    net->run(30s);
    return net;
}

class fleets : public testing::TestWithParam<std::size_t> {};

TEST_P(fleets, discover_each_other_through_seeds)
{
    const auto net = settled_net(GetParam(), 4, 1);
    EXPECT_TRUE(net->has_converged());
    for (std::size_t n = 0; n < net->size(); ++n) {
        EXPECT_EQ(net->router(n).is_synced(), GetParam() > 1) << n;
        EXPECT_EQ(net->router(n).live().size(), GetParam()) << n;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, fleets, testing::Values(1, 2, 3, 8, 40));

TEST(membership, detects_a_killed_router_and_its_restart)
{
    const auto net = settled_net(8, 4, 2);
    net->kill(3);
    net->run(20s);
    EXPECT_TRUE(net->has_converged());
    net->start(3, 4);
    net->run(5s);
    EXPECT_TRUE(net->has_converged());
}

TEST(membership, announces_a_planned_stop_to_all_members)
{
    const auto net = settled_net(8, 4, 3);
    net->apply_effects(5, net->router(5).leave(net->now()));
    net->run(max_spread_time);
    for (std::size_t n = 0; n < net->size(); ++n) {
        const auto* seen = net->router(n).find(gossip_net::id_of(5));
        EXPECT_EQ(seen->status, member_status::leaving) << n;
        EXPECT_EQ(net->router(n).live().size(), 7U) << n;
    }
    net->apply_effects(5, net->router(5).stop(net->now()));
    net->kill(5);
    net->run(max_spread_time);
    EXPECT_TRUE(net->has_converged());
}

TEST(membership, spreads_summaries_within_their_scope)
{
    const auto net = settled_net(8, 4, 4);
    const summary_key pool{summary_kind::pool_load, "pool-1"};
    net->router(0).publish(load_key, summary_scope::domain, "7");
    net->router(0).publish(pool, summary_scope::fleet, "9");
    net->run(max_spread_time);
    for (std::size_t n = 1; n < net->size(); ++n) {
        const auto& seen = net->router(n).summaries();
        EXPECT_EQ(seen.find(gossip_net::id_of(0), pool), "9") << n;
        const bool same_domain = net->domain_of(n) == net->domain_of(0);
        EXPECT_EQ(seen.find(gossip_net::id_of(0), load_key).has_value(), same_domain) << n;
    }
}

TEST(membership, drops_summaries_of_dead_routers)
{
    const auto net = settled_net(4, 1, 5);
    net->router(0).publish(load_key, summary_scope::fleet, "7");
    net->run(max_spread_time);
    std::string last = "7";
    net->observe = [&](std::size_t n, const membership_effect& it) {
        const auto* changed = std::get_if<summary_changed>(&it);
        if (n == 1 && changed != nullptr && changed->key == load_key) {
            last = changed->value;
        }
    };
    net->kill(0);
    net->run(20s);
    EXPECT_EQ(last, "");
    EXPECT_EQ(net->router(1).summaries().find(gossip_net::id_of(0), load_key), std::nullopt);
}

TEST(membership, reports_a_higher_configuration)
{
    const auto net = settled_net(2, 1, 6);
    std::uint64_t seen = 0;
    net->observe = [&](std::size_t n, const membership_effect& it) {
        const auto* config = std::get_if<config_seen>(&it);
        if (n == 1 && config != nullptr) {
            seen = config->config.version;
        }
    };
    net->router(0).set_config({9, 1});
    net->run(2s);
    EXPECT_EQ(seen, 9U);
}

TEST(membership, suspects_no_member_after_its_own_pause)
{
    const auto net = settled_net(8, 4, 7);
    bool pause_reported = false;
    std::size_t suspect_reports = 0;
    net->observe = [&](std::size_t n, const membership_effect& it) {
        pause_reported |= n == 2 && std::holds_alternative<pause_noticed>(it);
        const auto* changed = std::get_if<member_changed>(&it);
        suspect_reports +=
            n == 2 && changed != nullptr && changed->member.status != member_status::alive;
    };
    net->pause(2, 60s);
    net->run(70s);
    EXPECT_TRUE(pause_reported);
    EXPECT_EQ(suspect_reports, 0U);
    EXPECT_TRUE(net->has_converged());
}

TEST(membership, updates_the_last_acked_probe_time_only_on_responses)
{
    const auto net = settled_net(3, 1, 8);
    const auto before = net->router(0).last_acked_probe_at();
    ASSERT_TRUE(before);
    EXPECT_LT(net->now() - *before, 1s);
    net->is_partitioned = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
    net->run(30s);
    EXPECT_LT(*net->router(0).last_acked_probe_at() - *before, 1s);
    EXPECT_FALSE(net->router(0).has_peers());
}

TEST(membership, converges_after_a_partition)
{
    const auto net = settled_net(16, 2, 9);
    net->is_partitioned = [&](std::size_t a, std::size_t b) {
        return net->domain_of(a) != net->domain_of(b);
    };
    net->run(1h);
    EXPECT_EQ(net->router(0).live().size(), 8U);
    net->is_partitioned = nullptr;
    net->run(30s);
    EXPECT_TRUE(net->has_converged());
}

TEST(membership, ignores_replayed_packets)
{
    const auto net = settled_net(3, 1, 11);
    gossip_packet packet;
    packet.from = gossip_net::id_of(1);
    packet.from_run = net->router(1).find(packet.from)->run;
    packet.number = 1'000'000;
    const endpoint from{"10.0.0.1", 7'400};
    EXPECT_EQ(net->router(0).handle(packet, from, net->now()).size(), 1U);
    EXPECT_TRUE(net->router(0).handle(packet, from, net->now()).empty());
    packet.from_run = incarnation{1};
    packet.number = 1'000'001;
    EXPECT_TRUE(net->router(0).handle(packet, from, net->now()).empty());
}

TEST(membership, reports_a_newer_run_with_its_own_id)
{
    const auto net = settled_net(3, 1, 10);
    auto newer = *net->router(0).find(gossip_net::id_of(0));
    newer.run = newer.run.next();
    gossip_packet packet;
    packet.from = gossip_net::id_of(1);
    packet.from_run = net->router(1).find(packet.from)->run;
    packet.number = 1'000'000;
    packet.members = {{newer, refutation_number{}, true}};
    const auto effects = net->router(0).handle(packet, {"10.0.0.1", 7'400}, net->now());
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](const auto& it) {
        return std::holds_alternative<run_superseded>(it);
    }));
}

} // namespace
} // namespace endivelatch

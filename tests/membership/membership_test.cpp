#include "membership/gossip_net.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

const summary_key load_key{summary_kind::target_load, "target-1"};
constexpr duration today_spread{3s}; ///< Within which changes reach 8 routers.

/// Returns a network of routers that know each other.
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

TEST_P(fleets, find_each_other_through_seeds)
{
    const auto net = settled_net(GetParam(), 4, 1);
    EXPECT_TRUE(net->agrees());
    for (std::size_t n = 0; n < net->size(); ++n) {
        EXPECT_EQ(net->router(n).is_synced(), GetParam() > 1) << n;
        EXPECT_EQ(net->router(n).live().size(), GetParam()) << n;
    }
}

INSTANTIATE_TEST_SUITE_P(sizes, fleets, testing::Values(1, 2, 3, 8, 40));

TEST(membership, notices_a_lost_router_and_its_return)
{
    const auto net = settled_net(8, 4, 2);
    net->kill(3);
    net->run(20s);
    EXPECT_TRUE(net->agrees());
    net->start(3, 4);
    net->run(5s);
    EXPECT_TRUE(net->agrees());
}

TEST(membership, tells_all_of_a_planned_stop)
{
    const auto net = settled_net(8, 4, 3);
    net->carry_out(5, net->router(5).leave(net->now()));
    net->run(today_spread);
    for (std::size_t n = 0; n < net->size(); ++n) {
        const auto* seen = net->router(n).find(gossip_net::id_of(5));
        EXPECT_EQ(seen->status, member_status::leaving) << n;
        EXPECT_EQ(net->router(n).live().size(), 7U) << n;
    }
    net->carry_out(5, net->router(5).stop(net->now()));
    net->kill(5);
    net->run(today_spread);
    EXPECT_TRUE(net->agrees());
}

TEST(membership, spreads_summaries_within_their_scope)
{
    const auto net = settled_net(8, 4, 4);
    const summary_key pool{summary_kind::pool_load, "pool-1"};
    net->router(0).publish(load_key, summary_scope::domain, "7");
    net->router(0).publish(pool, summary_scope::fleet, "9");
    net->run(today_spread);
    for (std::size_t n = 1; n < net->size(); ++n) {
        const auto& seen = net->router(n).summaries();
        EXPECT_EQ(seen.find(gossip_net::id_of(0), pool), "9") << n;
        const bool is_near = net->domain_of(n) == net->domain_of(0);
        EXPECT_EQ(seen.find(gossip_net::id_of(0), load_key).has_value(), is_near) << n;
    }
}

TEST(membership, drops_summaries_of_dead_routers)
{
    const auto net = settled_net(4, 1, 5);
    net->router(0).publish(load_key, summary_scope::fleet, "7");
    net->run(today_spread);
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

TEST(membership, blames_nobody_after_its_own_pause)
{
    const auto net = settled_net(8, 4, 7);
    bool has_noticed = false;
    std::size_t blamed = 0;
    net->observe = [&](std::size_t n, const membership_effect& it) {
        has_noticed |= n == 2 && std::holds_alternative<pause_noticed>(it);
        const auto* changed = std::get_if<member_changed>(&it);
        blamed += n == 2 && changed != nullptr && changed->member.status != member_status::alive;
    };
    net->pause(2, 60s);
    net->run(70s);
    EXPECT_TRUE(has_noticed);
    EXPECT_EQ(blamed, 0U);
    EXPECT_TRUE(net->agrees());
}

TEST(membership, is_vouched_for_by_answered_probes_only)
{
    const auto net = settled_net(3, 1, 8);
    const auto before = net->router(0).last_acked_probe_at();
    ASSERT_TRUE(before);
    EXPECT_LT(net->now() - *before, 1s);
    net->is_cut = [](std::size_t from, std::size_t to) { return from == 0 || to == 0; };
    net->run(30s);
    EXPECT_LT(*net->router(0).last_acked_probe_at() - *before, 1s);
    EXPECT_FALSE(net->router(0).has_peers());
}

TEST(membership, merges_again_after_a_partition)
{
    const auto net = settled_net(16, 2, 9);
    net->is_cut = [&](std::size_t a, std::size_t b) {
        return net->domain_of(a) != net->domain_of(b);
    };
    net->run(1h);
    EXPECT_EQ(net->router(0).live().size(), 8U);
    net->is_cut = nullptr;
    net->run(30s);
    EXPECT_TRUE(net->agrees());
}

TEST(membership, answers_a_recorded_packet_only_once)
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

TEST(membership, reports_that_a_newer_run_replaced_it)
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

#include "membership/gossip_net.hpp"

#include <gtest/gtest.h>
#include <set>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

/// Number of reports of suspected and dead members.
struct report_counts {
    int suspected = 0;
    int dead = 0;
};

/// Returns a network of routers that have discovered each other without faults.
std::unique_ptr<gossip_net> settled_net(std::size_t size, std::size_t domains, std::uint64_t seed)
{
    auto net = std::make_unique<gossip_net>(seed);
    for (std::size_t n = 0; n < size; ++n) {
        net->start(n, domains);
    }
    net->run(30s);
    return net;
}

void count_reports(gossip_net& net, report_counts& counts)
{
    net.observe = [&counts](std::size_t, const membership_effect& it) {
        const auto* changed = std::get_if<member_changed>(&it);
        if (changed != nullptr) {
            counts.suspected += changed->member.status == member_status::suspect;
            counts.dead += changed->member.status == member_status::dead;
        }
    };
}

TEST(membership_policy, declares_no_member_dead_under_packet_loss)
{
    for (const double loss : {0.05, 0.1}) {
        const auto net = settled_net(16, 4, 21);
        report_counts counts;
        count_reports(*net, counts);
        net->conditions.loss = loss;
        net->run(10min);
        EXPECT_EQ(counts.dead, 0) << "loss " << loss;
        RecordProperty("suspected_at_" + std::to_string(loss), counts.suspected);
    }
}

TEST(membership_policy, declares_a_killed_router_dead_only_after_the_suspicion_timeout)
{
    const auto net = settled_net(8, 4, 22);
    const membership_settings settings;
    std::set<std::size_t> observers;
    net->observe = [&](std::size_t n, const membership_effect& it) {
        const auto* changed = std::get_if<member_changed>(&it);
        if (changed != nullptr && changed->member.status == member_status::dead) {
            observers.insert(n);
        }
    };
    const auto suspicion =
        settings.suspicion_base_periods + settings.suspicion_doubling_periods * 4;
    const auto round = settings.period * 7;
    net->kill(3);
    net->run(settings.period *
             (settings.suspicion_base_periods + settings.suspicion_doubling_periods));
    EXPECT_TRUE(observers.empty());
    net->run(round + settings.period * suspicion);
    EXPECT_EQ(observers.size(), 7U);
}

/// All 8 routers of a failure domain in a fleet of 32 restart at once.
TEST(membership_policy, bounds_the_packets_of_a_restart_storm)
{
    constexpr std::size_t domains = 4;
    constexpr std::uint64_t seconds = 10;
    constexpr std::uint64_t probes_per_second = 4; // To fleet and domain, each period.
    constexpr std::uint64_t allowed_per_probe = 4; // Probe, responses to peers, retries, pages.
    for (std::uint64_t seed = 23; seed < 33; ++seed) {
        const auto net = settled_net(32, domains, seed);
        for (std::size_t n = 1; n < net->size(); n += domains) {
            net->kill(n);
        }
        net->run(30s);
        std::vector<std::uint64_t> before;
        for (std::size_t n = 0; n < net->size(); ++n) {
            before.push_back(net->sent(n).packets);
        }
        for (std::size_t n = 1; n < net->size(); n += domains) {
            net->start(n, domains);
        }
        net->run(std::chrono::seconds{seconds});
        EXPECT_TRUE(net->has_converged()) << seed;
        for (std::size_t n = 0; n < net->size(); ++n) {
            EXPECT_LE(net->sent(n).packets - before[n],
                      seconds * probes_per_second * allowed_per_probe)
                << n;
        }
    }
}

/// Two regions that were partitioned for an hour converge within a minute, and no router sends
/// more packets per second than in a restart storm.
TEST(membership_policy, merges_two_regions_after_an_hour)
{
    const auto net = settled_net(48, 2, 70);
    net->is_partitioned = [&](std::size_t a, std::size_t b) {
        return net->domain_of(a) != net->domain_of(b);
    };
    net->run(1h);
    std::vector<std::uint64_t> before;
    for (std::size_t n = 0; n < net->size(); ++n) {
        before.push_back(net->sent(n).packets);
    }
    net->is_partitioned = nullptr;
    int seconds = 0;
    for (; seconds < 60 && !net->has_converged(); ++seconds) {
        net->run(1s);
    }
    EXPECT_TRUE(net->has_converged());
    RecordProperty("seconds", seconds);
    constexpr std::uint64_t packets_per_second = 16;
    for (std::size_t n = 0; n < net->size(); ++n) {
        const auto sent = net->sent(n).packets - before[n];
        EXPECT_LE(sent, packets_per_second * static_cast<std::uint64_t>(seconds + 1)) << n;
    }
}

/// A configuration must be in force on 8 routers within 3 s; half of that is allowed for gossip.
TEST(membership_policy, spreads_a_configuration_to_8_routers_in_half_of_the_bound)
{
    for (std::uint64_t seed = 30; seed < 50; ++seed) {
        const auto net = settled_net(8, 4, seed);
        net->conditions.loss = 0.05;
        net->observe = [&](std::size_t n, const membership_effect& it) {
            if (const auto* seen = std::get_if<config_seen>(&it)) {
                net->router(n).set_config(seen->config);
            }
        };
        net->router(0).set_config({9, 9});
        net->run(1500ms);
        for (std::size_t n = 0; n < net->size(); ++n) {
            EXPECT_EQ(net->router(n).config().version, 9U) << "seed " << seed << " router " << n;
        }
    }
}

/// A configuration must spread to 1,700 routers within 12 s by push and pull, of which 8 s are
/// allowed for gossip. A fleet of 128 routers, 3.7 doublings fewer, must not need more than 5 s.
TEST(membership_policy, spreads_a_configuration_to_128_routers)
{
    const auto net = settled_net(128, 8, 60);
    net->observe = [&](std::size_t n, const membership_effect& it) {
        if (const auto* seen = std::get_if<config_seen>(&it)) {
            net->router(n).set_config(seen->config);
        }
    };
    net->router(0).set_config({9, 9});
    net->run(5s);
    for (std::size_t n = 0; n < net->size(); ++n) {
        EXPECT_EQ(net->router(n).config().version, 9U) << n;
    }
}

} // namespace
} // namespace endivelatch

#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"
#include "load_model.hpp"
#include "membership/gossip_net.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

/// Measures gossip traffic, propagation delay and processor time over the number of routers.
/// Arguments: largest and smallest number of routers, and the smallest change of a target's load in
/// streams that is published. Packet sizes include the authentication tag and the IP and UDP
/// headers.
namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t ip_udp_header = 28;
constexpr std::size_t targets_per_router = 3;
constexpr std::size_t pools = 5;
constexpr int pool_publish_threshold = 64; ///< Streams of a pool in one failure domain.

std::size_t domains_of(std::size_t routers)
{
    return routers <= 8 ? 4 : 8;
}

/// Simulates the loads of all targets and publishes their changes through the owning routers.
class load_publisher {
public:
    load_publisher(gossip_net& net, int publish_threshold) : net_{net}
    {
        for (std::size_t n = 0; n < net.size() * targets_per_router; ++n) {
            targets_.emplace_back(n + 1, publish_threshold);
        }
    }

    /// Advances every target by one second and publishes changed loads. The first routers of each
    /// failure domain publish the loads of its pools.
    void advance_second()
    {
        for (std::size_t n = 0; n < targets_.size(); ++n) {
            const auto owner = n % net_.size();
            if (targets_[n].advance_second()) {
                const char value = static_cast<char>(targets_[n].published() / 8);
                net_.router(owner).publish(
                    {summary_kind::target_load, "target-" + std::to_string(n)},
                    summary_scope::domain, std::string{value});
                ++changes;
            }
        }
        publish_pools();
    }

    std::uint64_t changes = 0;

private:
    void publish_pools()
    {
        std::map<std::pair<std::size_t, std::size_t>, int> loads;
        for (std::size_t n = 0; n < targets_.size(); ++n) {
            loads[{net_.domain_of(n % net_.size()), n % pools}] += targets_[n].published();
        }
        const auto domains = domains_of(net_.size());
        for (const auto& [domain_and_pool, load] : loads) {
            auto& last = published_pool_loads_[domain_and_pool];
            if (std::abs(load - last) < pool_publish_threshold) {
                continue;
            }
            last = load;
            const auto owner = domain_and_pool.first +
                               domains * (domain_and_pool.second % (net_.size() / domains + 1));
            net_.router(owner % net_.size())
                .publish(
                    {summary_kind::pool_load, "pool-" + std::to_string(domain_and_pool.second)},
                    summary_scope::fleet, std::to_string(load));
            ++changes;
        }
    }

    gossip_net& net_;
    std::vector<load_model> targets_;
    std::map<std::pair<std::size_t, std::size_t>, int> published_pool_loads_;
};

/// Returns a network with converged membership that counts sent packets and bytes.
std::unique_ptr<gossip_net> make_network(std::size_t routers)
{
    auto net = std::make_unique<gossip_net>(routers);
    net->on_send = [](gossip_packet& packet) {
        return encode(packet).size() + auth_tag_size + ip_udp_header;
    };
    for (std::size_t n = 0; n < routers; ++n) {
        net->start(n, domains_of(routers));
    }
    net->preload_members();
    net->run(routers < 200 ? 40s : 20s);
    return net;
}

traffic total_sent(const gossip_net& net)
{
    traffic out;
    for (std::size_t n = 0; n < net.size(); ++n) {
        out.packets += net.sent(n).packets;
        out.bytes += net.sent(n).bytes;
    }
    return out;
}

/// Measures traffic and processor time of one network. Targets publish load changes of at least
/// `publish_threshold` streams; zero publishes none.
void measure_rates(gossip_net& net, int publish_threshold, int seconds)
{
    const bool has_load = publish_threshold > 0;
    load_publisher load{net, publish_threshold};
    const auto before = total_sent(net);
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < seconds; ++n) {
        if (has_load) {
            load.advance_second();
        }
        net.run(1s);
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    const auto after = total_sent(net);
    const auto routers = static_cast<double>(net.size());
    const auto packets = static_cast<double>(after.packets - before.packets);
    std::size_t queued = 0;
    for (std::size_t n = 0; n < net.size(); ++n) {
        queued += net.router(n).summaries().queued();
    }
    std::printf("bench=control routers=%zu band=%d sent_bytes_per_s=%.0f packets_per_s=%.2f "
                "changes_per_s=%.2f queued_per_router=%.1f us_per_packet=%.1f\n",
                net.size(), publish_threshold,
                static_cast<double>(after.bytes - before.bytes) / routers / seconds,
                packets / routers / seconds, static_cast<double>(load.changes) / seconds,
                static_cast<double>(queued) / routers, elapsed.count() / packets);
}

/// Measures how many gossip periods a configuration version, a fleet summary and a domain summary
/// take to reach every router concerned. A router adopts a configuration version when it first
/// sees it, and gossips it from then on.
void measure_spread(gossip_net& net)
{
    constexpr duration step{100ms};
    const double period = 500'000;
    std::map<std::string, duration> arrived;
    const summary_key fleet_key{summary_kind::router_state, "fleet"};
    const summary_key domain_key{summary_kind::router_state, "domain"};
    const auto origin = gossip_net::id_of(0);
    net.observe = [&](std::size_t n, const membership_effect& it) {
        if (const auto* update = std::get_if<config_seen>(&it)) {
            net.router(n).set_config(update->config);
        }
    };
    net.router(0).set_config({7, 7});
    net.router(0).publish(fleet_key, summary_scope::fleet, "1");
    net.router(0).publish(domain_key, summary_scope::domain, "1");
    std::map<std::string, double> periods;
    for (duration passed{}; passed < 60s && periods.size() < 3; passed += step) {
        net.run(step);
        bool fleet_complete = true;
        bool domain_complete = true;
        bool config_complete = true;
        for (std::size_t n = 1; n < net.size(); ++n) {
            const auto& known = net.router(n).summaries();
            fleet_complete = fleet_complete && known.find(origin, fleet_key);
            domain_complete = domain_complete && (net.domain_of(n) != net.domain_of(0) ||
                                                  known.find(origin, domain_key));
            config_complete = config_complete && net.router(n).config().version == 7;
        }
        const auto count = static_cast<double>((passed + step).count()) / period;
        if (fleet_complete) {
            periods.try_emplace("fleet", count);
        }
        if (domain_complete) {
            periods.try_emplace("domain", count);
        }
        if (config_complete) {
            periods.try_emplace("config", count);
        }
    }
    std::printf("bench=spread routers=%zu config_periods=%.1f fleet_periods=%.1f "
                "domain_periods=%.1f\n",
                net.size(), periods["config"], periods["fleet"], periods["domain"]);
}

} // namespace
} // namespace endivelatch

int main(int argc, char** argv)
{
    using namespace endivelatch;
    const auto largest = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 128;
    const auto smallest = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 2;
    const int publish_threshold =
        argc > 3 ? static_cast<int>(std::strtol(argv[3], nullptr, 10)) : 8;
    for (std::size_t routers = smallest; routers <= largest; routers *= 2) {
        const auto net = make_network(routers);
        const int seconds = routers < 200 ? 60 : 20;
        measure_rates(*net, 0, seconds / 2);
        measure_rates(*net, publish_threshold, seconds);
        measure_spread(*net);
        std::fflush(stdout);
    }
}

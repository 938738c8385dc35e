#include "endivelatch/entry/fleet_view.hpp"
#include "endivelatch/wire/codec.hpp"
#include "membership/gossip_net.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <vector>

/// Measures the cost of gossip between entry routers and the age of the target loads that it
/// carries. Arguments: the numbers of routers to simulate; the fleet has one target per router.
/// Packet sizes include the IP and UDP headers.
namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t ip_udp_header = 28;
constexpr std::size_t domains = 4;
constexpr double responses_per_second = 7.4; ///< Per router, in the larger deployments.

/// Simulates routers with load tables on an in-process network.
class loads_model {
public:
    explicit loads_model(std::size_t routers)
        : net_{routers, entry_membership_settings()}, tables_(routers), report_times_(routers)
    {
        net_.on_send = [this](gossip_packet& packet) { return attach_loads(packet); };
        net_.on_receive = [this](std::size_t to, const gossip_packet& packet) {
            for (const auto& it : packet.loads) {
                record_load(to, it.target, it.in_flight, net_.now() - it.age);
            }
        };
        for (std::size_t n = 0; n < routers; ++n) {
            router_indexes_.emplace(gossip_net::id_of(n), n);
            net_.start(n, domains);
        }
        net_.preload_members();
        run(10s);
    }

    /// Runs the simulation for a time and prints traffic rates and load ages.
    void measure(duration length)
    {
        const auto packets_before = packets();
        const auto bytes_before = bytes();
        ages_.clear();
        lookups_without_report_ = 0;
        const auto start = std::chrono::steady_clock::now();
        run(length);
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - start;
        std::sort(ages_.begin(), ages_.end());
        const auto seconds = std::chrono::duration<double>{length}.count();
        const auto routers = static_cast<double>(net_.size());
        const auto sent = static_cast<double>(packets() - packets_before);
        const auto lookups = static_cast<double>(ages_.size() + lookups_without_report_);
        std::printf("bench=loads routers=%zu sent_bytes_per_s=%.0f packets_per_s=%.2f "
                    "us_per_packet=%.1f cores_per_router=%.5f age_p50_ms=%.0f age_p95_ms=%.0f "
                    "without_report=%.3f\n",
                    net_.size(), static_cast<double>(bytes() - bytes_before) / routers / seconds,
                    sent / routers / seconds, elapsed.count() / sent,
                    elapsed.count() / 1e6 / routers / seconds, age_quantile(0.5),
                    age_quantile(0.95), static_cast<double>(lookups_without_report_) / lookups);
    }

private:
    using age_ms = std::chrono::duration<double, std::milli>;

    std::size_t attach_loads(gossip_packet& packet)
    {
        auto& table = tables_[router_indexes_.at(packet.from)];
        packet.loads = table.newest(load_report_capacity(encode(packet).size()), net_.now());
        // Decodes as well, so that the measured time includes the work of the receiver.
        const auto bytes = encode(packet);
        static_cast<void>(decode_gossip(bytes));
        return bytes.size() + ip_udp_header;
    }

    void record_load(std::size_t router, target_key target, std::uint32_t load,
                     time_point reported_at)
    {
        if (tables_[router].update(target, load, reported_at)) {
            report_times_[router][target] = reported_at;
        }
    }

    /// Sends a packet of loads from each router to random receivers, as `fleet_view` does.
    void send_loads()
    {
        for (std::size_t from = 0; from < net_.size(); ++from) {
            gossip_packet packet;
            packet.kind = gossip_kind::loads;
            packet.from = gossip_net::id_of(from);
            packet.loads = tables_[from].newest(load_table::max_reports_per_packet, net_.now());
            const auto bytes = encode(packet);
            for (std::size_t n = 0; n < load_packet_receivers; ++n) {
                ++load_packets_;
                load_bytes_ += bytes.size() + ip_udp_header;
                static_cast<void>(decode_gossip(bytes));
                const auto to = random_.below(net_.size());
                for (const auto& it : packet.loads) {
                    record_load(to, it.target, it.in_flight, net_.now() - it.age);
                }
            }
        }
    }

    void run(duration length)
    {
        constexpr duration step{1ms};
        const auto routers = net_.size();
        const auto chance = responses_per_second * static_cast<double>(routers) * 1e-3;
        for (duration passed{}; passed < length; passed += step) {
            net_.run(step);
            if (passed % load_packet_interval < step &&
                routers > max_routers_without_load_packets) {
                send_loads();
            }
            for (auto left = chance; left > 0; left -= 1) {
                if (random_.fraction() < left) {
                    simulate_response();
                }
            }
        }
    }

    /// Records the load in a target's response at a router, then samples the ages of the loads that
    /// the router knows.
    void simulate_response()
    {
        const auto router = random_.below(net_.size());
        record_load(router, target_key{static_cast<std::uint32_t>(random_.below(net_.size()) + 1)},
                    static_cast<std::uint32_t>(random_.below(20)), net_.now());
        for (std::size_t n = 1; n <= net_.size(); n += 1 + net_.size() / 16) {
            const auto it = report_times_[router].find(target_key{static_cast<std::uint32_t>(n)});
            if (it == report_times_[router].end()) {
                ++lookups_without_report_;
            }
            else {
                ages_.push_back(age_ms{net_.now() - it->second}.count());
            }
        }
    }

    double age_quantile(double share) const
    {
        if (ages_.empty()) {
            return -1;
        }
        const auto last = static_cast<double>(ages_.size() - 1);
        return ages_[static_cast<std::size_t>(share * last)];
    }

    std::uint64_t packets() const
    {
        std::uint64_t all = load_packets_;
        for (std::size_t n = 0; n < net_.size(); ++n) {
            all += net_.sent(n).packets;
        }
        return all;
    }

    std::uint64_t bytes() const
    {
        std::uint64_t all = load_bytes_;
        for (std::size_t n = 0; n < net_.size(); ++n) {
            all += net_.sent(n).bytes;
        }
        return all;
    }

    gossip_net net_;
    random_source random_{1};
    std::map<router_id, std::size_t> router_indexes_;
    std::vector<load_table> tables_;
    std::vector<std::map<target_key, time_point>> report_times_;
    std::vector<double> ages_;
    std::uint64_t load_packets_ = 0;
    std::uint64_t load_bytes_ = 0;
    std::size_t lookups_without_report_ = 0;
};

} // namespace
} // namespace endivelatch

int main(int argc, char** argv)
{
    using namespace endivelatch;
    std::vector<std::size_t> sizes;
    for (int n = 1; n < argc; ++n) {
        sizes.push_back(std::strtoul(argv[n], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {6, 30, 100, 300};
    }
    for (const auto routers : sizes) {
        loads_model model{routers};
        model.measure(std::chrono::seconds{10});
        std::fflush(stdout);
    }
}

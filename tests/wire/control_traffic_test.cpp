#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"
#include "membership/gossip_net.hpp"

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t ip_udp_header = 28;
constexpr std::uint64_t max_bytes_per_second = 4'000; ///< Per router, sent and received.

/// The gossip traffic of each of 8 routers stays within the bound. The load of each of 24 targets
/// moves to another band every two seconds, four times as often as arrivals and completions at the
/// full request rate cause. The load of each pool in each failure domain changes every five
/// seconds.
TEST(control_traffic, stays_within_the_bound_of_8_routers)
{
    constexpr std::size_t routers = 8;
    constexpr std::size_t domains = 4;
    constexpr std::size_t targets = 24;
    constexpr std::size_t pools = 3;
    constexpr std::uint64_t seconds = 60;
    gossip_net net{8};
    net.on_send = [](gossip_packet& packet) {
        return encode(packet).size() + auth_tag_size + ip_udp_header;
    };
    for (std::size_t n = 0; n < routers; ++n) {
        net.start(n, domains);
    }
    net.run(30s);
    std::vector<std::uint64_t> before;
    for (std::size_t n = 0; n < routers; ++n) {
        before.push_back(net.sent(n).bytes);
    }
    for (std::uint64_t second = 0; second < seconds; ++second) {
        const auto value = std::to_string(second);
        for (std::size_t n = second % 2; n < targets; n += 2) {
            const summary_key key{summary_kind::target_load, "target-" + std::to_string(n)};
            net.router(n % routers).publish(key, summary_scope::domain, value);
        }
        for (std::size_t n = second % 5; n < pools * domains; n += 5) {
            const summary_key key{summary_kind::pool_load, "pool-" + std::to_string(n)};
            net.router(n % routers).publish(key, summary_scope::fleet, value);
        }
        net.run(1s);
    }
    for (std::size_t n = 0; n < routers; ++n) {
        const auto sent = (net.sent(n).bytes - before[n]) / seconds;
        EXPECT_LE(2 * sent, max_bytes_per_second) << n;
        EXPECT_GT(sent, 0U) << n;
    }
}

} // namespace
} // namespace endivelatch

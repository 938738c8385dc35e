#include "endivelatch/membership/packet_size.hpp"

#include "endivelatch/wire/codec.hpp"
#include "endivelatch/wire/frame.hpp"
#include "membership/gossip_net.hpp"
#include "wire/message_samples.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace endivelatch {
namespace {

/// Returns the upper bound of the packet's encoded size.
std::size_t size_bound(const gossip_packet& packet)
{
    auto size = packet_base_size(packet);
    for (const auto& it : packet.members) {
        size += encoded_size(it);
    }
    for (const auto& it : packet.summaries) {
        size += encoded_size(it) + group_header_size(it);
    }
    return size + packet.failures.size() * failure_report_size +
           packet.crashes.reports.size() * crash_report_size +
           packet.crashes.clearances.size() * clearance_size +
           packet.limits.size() * limit_report_size +
           (packet.usage.uses.empty() ? 0 : usage_report_size);
}

RC_GTEST_PROP(packet_sizes, are_bounded,
              (std::uint64_t number, std::uint32_t small, const std::string& text))
{
    auto packet = sample_packet();
    packet.number = number;
    packet.config = {number, small};
    packet.from = router_id{text};
    for (auto& it : packet.members) {
        it.subject.id = router_id{text};
        it.subject.run = incarnation{number};
        it.refutation = refutation_number{small};
        it.subject.link.address = text;
    }
    for (auto& it : packet.summaries) {
        it.key.id = text;
        it.value = text;
        it.version = summary_version{number};
    }
    RC_ASSERT(encode(packet).size() <= size_bound(packet));
}

/// Packets of a fleet with frequent summary updates stay below the size limit and are equal after
/// encoding and decoding. The largest packet has to use most of the limit, so that the test covers
/// full packets.
TEST(packet_sizes, stay_below_the_limit_for_all_packets_of_a_fleet)
{
    using namespace std::chrono_literals;
    gossip_net net{1};
    std::size_t largest = 0;
    std::size_t mismatches = 0;
    net.on_send = [&](gossip_packet& packet) {
        const auto bytes = encode(packet);
        largest = std::max(largest, bytes.size());
        const auto read = decode_gossip(bytes);
        mismatches += has_value(read) && value_of(read) == packet ? 0 : 1;
        return bytes.size();
    };
    for (std::size_t n = 0; n < 40; ++n) {
        net.start(n, 2);
    }
    for (std::size_t round = 0; round < 20; ++round) {
        for (std::size_t n = 0; n < 800; ++n) {
            const summary_key key{summary_kind::target_load, "target-" + std::to_string(n)};
            const auto scope = n % 3 == 0 ? summary_scope::fleet : summary_scope::domain;
            net.router(n % 40).publish(key, scope, std::to_string(round));
        }
        net.run(1s);
    }
    EXPECT_EQ(mismatches, 0U);
    EXPECT_LE(largest + auth_tag_size, max_gossip_size);
    EXPECT_GT(largest, max_gossip_size * 3 / 4);
}

} // namespace
} // namespace endivelatch

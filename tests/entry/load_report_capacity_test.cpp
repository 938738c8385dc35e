#include "endivelatch/entry/fleet_view.hpp"
#include "endivelatch/traffic/crash_evidence.hpp"
#include "endivelatch/wire/codec.hpp"

#include <limits>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

TEST(load_report_capacity, keeps_packets_within_the_maximum_size)
{
    for (std::size_t filled = 0; filled < max_gossip_size; filled += 13) {
        gossip_packet packet;
        packet.from = router_id{std::string(filled, 'x')};
        const auto capacity = load_report_capacity(encode(packet).size());
        EXPECT_LE(capacity, load_table::max_reports_per_packet);
        for (std::size_t n = 0; n < capacity; ++n) {
            constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
            packet.loads.push_back({target_key{largest / 2}, largest / 2, load_table::lifetime});
        }
        if (encode(packet).size() > max_gossip_size) {
            EXPECT_TRUE(packet.loads.empty()) << filled;
        }
    }
}

TEST(load_report_capacity, keeps_packets_with_slowdowns_within_the_maximum_size)
{
    for (std::size_t filled = 0; filled < max_gossip_size; filled += 13) {
        gossip_packet packet;
        packet.from = router_id{std::string(filled, 'x')};
        constexpr auto largest = std::numeric_limits<std::uint32_t>::max() / 2;
        const load_report report{target_key{largest}, largest, load_table::lifetime, max_slowdown};
        packet.loads.assign(load_report_capacity(encode(packet).size(), true), report);
        EXPECT_TRUE(packet.loads.empty() || encode(packet).size() <= max_gossip_size) << filled;
    }
}

TEST(limit_report_capacity, keeps_packets_within_the_maximum_size)
{
    for (std::size_t filled = 0; filled < max_gossip_size; filled += 13) {
        gossip_packet packet;
        packet.from = router_id{std::string(filled, 'x')};
        constexpr limit_report largest{
            target_key{std::numeric_limits<std::uint32_t>::max() / 2},
            request_rate{std::numeric_limits<std::int32_t>::max() / 1'000.0},
            limit_table::lifetime};
        packet.limits.assign(limit_report_capacity(encode(packet).size()), largest);
        EXPECT_TRUE(packet.limits.empty() || encode(packet).size() <= max_gossip_size) << filled;
    }
}

TEST(crash_news_capacity, keeps_packets_within_the_maximum_size)
{
    for (std::size_t filled = 0; filled < max_gossip_size; filled += 13) {
        gossip_packet packet;
        packet.from = router_id{std::string(filled, 'x')};
        if (!has_room_for_crash_news(encode(packet).size())) {
            continue;
        }
        constexpr auto largest = std::numeric_limits<std::uint64_t>::max() / 2;
        part_filter filter;
        filter.add(part_key{largest});
        const crash_report report{crash_report_id{largest},
                                  target_key{std::numeric_limits<std::uint32_t>::max() / 2},
                                  crash_evidence::report_lifetime,
                                  crash_evidence::report_lifetime,
                                  std::vector(max_parts_per_crash_report, part_key{largest}),
                                  filter};
        packet.crashes.reports.assign(max_crash_reports_per_packet, report);
        packet.crashes.clearances.assign(max_clearances_per_packet,
                                         {part_key{largest}, crash_evidence::clearance_lifetime});
        EXPECT_LE(encode(packet).size(), max_gossip_size) << filled;
    }
}

} // namespace
} // namespace endivelatch

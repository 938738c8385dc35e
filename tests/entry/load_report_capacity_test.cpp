#include "endivelatch/entry/fleet_view.hpp"
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

} // namespace
} // namespace endivelatch

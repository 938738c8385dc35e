#include "loopback.hpp"

#include "endivelatch/net/udp_socket.hpp"

namespace endivelatch {
namespace {

TEST(udp_socket, sends_and_receives_datagrams_up_to_the_limit)
{
    event_loop loop;
    std::vector<std::size_t> sizes;
    endpoint sender;
    udp_socket to{loop, [&](const endpoint& from, std::string_view bytes) {
                      sender = from;
                      sizes.push_back(bytes.size());
                  }};
    udp_socket from{loop, [](const endpoint&, std::string_view) {}};
    ASSERT_TRUE(to.start({"127.0.0.1", 0}).empty());
    ASSERT_TRUE(from.start({"127.0.0.1", 0}).empty());
    EXPECT_TRUE(from.send(to.listening(), std::string(max_datagram, 'x')));
    EXPECT_FALSE(from.send(to.listening(), std::string(max_datagram + 1, 'x')));
    EXPECT_FALSE(from.send({"no address", 1}, "x"));
    EXPECT_TRUE(from.send(to.listening(), "x"));
    run_until(loop, [&] { return sizes.size() == 2; });
    EXPECT_EQ(sizes, (std::vector<std::size_t>{max_datagram, 1}));
    EXPECT_EQ(sender, from.listening());
}

TEST(udp_socket, reports_an_address_that_cannot_be_bound)
{
    event_loop loop;
    udp_socket socket{loop, [](const endpoint&, std::string_view) {}};
    const findings found = socket.start({"not an address", 7});
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].place, "not an address:7");
}

} // namespace
} // namespace endivelatch

#include "loopback.hpp"
#include "plain_link_codec.hpp"

#include "endivelatch/net/peer_transport.hpp"

#include "standins/tcp_proxy.hpp"

#include <numeric>

namespace endivelatch {
namespace {

/// Returns settings with short timeouts and a free loopback port.
peer_transport_settings test_settings()
{
    peer_transport_settings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.check_interval = std::chrono::milliseconds{10};
    settings.ping_after = std::chrono::milliseconds{100};
    settings.silence_timeout = std::chrono::milliseconds{300};
    settings.give_up_after = std::chrono::milliseconds{1'500};
    return settings;
}

/// A router that records the frames it received and lost.
template <class SendWindow = send_window, class ReceiveWindow = receive_window>
struct router_end {
    router_end(event_loop& loop, const std::string& name, std::uint64_t run,
               const peer_transport_settings& settings = test_settings())
        : links{loop,
                settings,
                [name, run] {
                    return plain_link_codec{{router_id{name}, incarnation{run}}};
                },
                {[this](const link_peer&, std::string_view content) {
                     received.push_back(std::stoi(std::string{content}));
                 },
                 {},
                 [this](const endpoint&, const std::string&, std::vector<lost_frame>&& frames) {
                     for (auto& it : frames) {
                         lost.push_back(std::move(it));
                     }
                 }}}
    {
        EXPECT_TRUE(links.start().empty());
    }

    std::vector<int> received;
    std::vector<lost_frame> lost;
    peer_transport<plain_link_codec, SendWindow, ReceiveWindow> links;
};

/// Returns the numbers from zero up to, but not including, `count`.
std::vector<int> numbers_below(int count)
{
    std::vector<int> all(static_cast<std::size_t>(count));
    std::iota(all.begin(), all.end(), 0);
    return all;
}

/// Two routers connected through a proxy.
class peer_links : public ::testing::Test {
protected:
    void send(int first, int last)
    {
        for (int i = first; i < last; ++i) {
            ASSERT_TRUE(a.links.send(to, std::to_string(i)));
        }
    }

    event_loop loop;
    router_end<> a{loop, "a", 1};
    router_end<> b{loop, "b", 1};
    standins::tcp_proxy proxy{loop, {"127.0.0.1", 0}, b.links.listening()};
    endpoint to{"127.0.0.1", proxy.port()};
};

TEST_F(peer_links, deliver_and_acknowledge_frames_in_order)
{
    send(0, 5'000);
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    EXPECT_EQ(b.received, numbers_below(5'000));
    EXPECT_EQ(a.links.counts().connected, 1U);
}

TEST_F(peer_links, replace_a_silent_connection_without_losing_or_duplicating_frames)
{
    send(0, 100);
    run_until(loop, [&] { return b.received.size() == 100; });
    proxy.stall_open_connections();
    send(100, 1'000);
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    EXPECT_EQ(b.received, numbers_below(1'000));
    EXPECT_EQ(a.links.counts().silent, 1U);
    EXPECT_EQ(a.links.counts().connected, 2U);
    EXPECT_TRUE(a.lost.empty());
}

TEST_F(peer_links, send_nothing_while_idle)
{
    send(0, 10);
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    const auto bytes_from_a = a.links.counts().bytes_queued;
    const auto bytes_from_b = b.links.counts().bytes_queued;
    run_for(loop, std::chrono::milliseconds{500});
    EXPECT_EQ(a.links.counts().bytes_queued, bytes_from_a);
    EXPECT_EQ(b.links.counts().bytes_queued, bytes_from_b);
    EXPECT_EQ(a.links.counts().silent, 0U);
}

TEST_F(peer_links, deliver_all_frames_across_closed_connections)
{
    int sent = 0;
    for (int round = 0; round < 5; ++round) {
        send(sent, sent + 200);
        sent += 200;
        run_until(loop, [&] { return !b.received.empty() && b.received.back() >= sent - 200; });
        proxy.close_open_connections();
    }
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    EXPECT_EQ(b.received, numbers_below(1'000));
}

/// Faulty variant that accepts duplicates.
class no_deduplication_window : public receive_window {
public:
    bool accept(const router_id& from, incarnation run, std::uint64_t number)
    {
        receive_window::accept(from, run, number);
        return true;
    }
};

/// Faulty variant that never retransmits.
class no_retransmission_window : public send_window {
public:
    using send_window::send_window;
    void rewind() {}
};

TEST_F(peer_links, duplicate_frames_without_deduplication)
{
    router_end<send_window, no_deduplication_window> broken{loop, "broken", 1};
    standins::tcp_proxy between{loop, {"127.0.0.1", 0}, broken.links.listening()};
    to.port = between.port();
    send(0, 200);
    run_until(loop, [&] { return broken.received.size() >= 200; });
    between.close_open_connections();
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    EXPECT_GT(broken.received.size(), 200U);
}

TEST_F(peer_links, lose_frames_without_retransmission)
{
    router_end<no_retransmission_window> broken{loop, "broken", 1};
    EXPECT_TRUE(broken.links.send(to, "0"));
    run_until(loop, [&] { return b.received.size() == 1; });
    proxy.stall_open_connections();
    EXPECT_TRUE(broken.links.send(to, "1"));
    run_until(loop, [&] { return broken.links.counts().silent == 1; });
    EXPECT_TRUE(broken.links.send(to, "2"));
    run_until(loop, [&] { return b.received.size() == 2; });
    EXPECT_EQ(b.received, (std::vector<int>{0, 2}));
}

TEST_F(peer_links, drop_frames_when_there_is_no_contact)
{
    send(0, 10);
    run_until(loop, [&] { return a.links.unacknowledged(to) == 0; });
    proxy.stall_open_connections();
    proxy.stall_new_connections(true);
    send(10, 20);
    run_until(loop, [&] { return a.lost.size() == 10; });
    for (const auto& it : a.lost) {
        EXPECT_TRUE(it.may_have_arrived);
    }
    EXPECT_EQ(a.links.unacknowledged(to), 0U);
}

TEST_F(peer_links, refuse_frames_that_exceed_the_window)
{
    auto settings = test_settings();
    settings.max_unacknowledged = 100;
    router_end<> c{loop, "c", 1, settings};
    EXPECT_TRUE(c.links.send(to, std::string(60, '1')));
    EXPECT_FALSE(c.links.send(to, std::string(60, '2')));
    EXPECT_EQ(c.links.counts().refused, 1U);
}

TEST_F(peer_links, close_a_connection_that_sends_malformed_bytes)
{
    std::string reason;
    tcp_stream stream{
        loop,
        b.links.listening(),
        {{}, [](std::string_view) {}, {}, [&](const std::string& why) { reason = why; }}};
    stream.out() = "\xff\xff\xff\xff garbage";
    run_until(loop, [&] { return !reason.empty(); });
    EXPECT_EQ(b.links.counts().malformed, 1U);
    send(0, 10);
    run_until(loop, [&] { return b.received.size() == 10; });
}

TEST(send_window, drops_only_written_frames_when_the_receiver_restarts)
{
    send_window window{1'000};
    window.push("1");
    window.push("2");
    window.push("3");
    window.next();
    window.next();
    window.acknowledge(1);
    window.rewind();
    const auto lost = window.drop_written();
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost[0].content, "2");
    EXPECT_TRUE(lost[0].may_have_arrived);
    EXPECT_EQ(window.next()->content, "3");
}

TEST(receive_window, drops_frames_of_an_earlier_run)
{
    receive_window window;
    const router_id from{"a"};
    EXPECT_TRUE(window.accept(from, incarnation{1}, 7));
    EXPECT_FALSE(window.accept(from, incarnation{1}, 7));
    EXPECT_TRUE(window.accept(from, incarnation{2}, 1));
    EXPECT_FALSE(window.accept(from, incarnation{1}, 8));
}

} // namespace
} // namespace endivelatch

#include "endivelatch/wire/link_liveness.hpp"

#include "endivelatch/base/overloaded.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace endivelatch {
namespace {

using namespace std::chrono_literals;

constexpr duration step{50ms};

/// A link with a simulated peer that replies to heartbeats on all but the silent connections.
class fake_link {
public:
    explicit fake_link(const link_settings& settings = {}) : link{settings, 1}
    {
        apply(link.start(clock.now()));
    }

    /// Advances the clock in steps and runs the timers that are due.
    void run(duration length)
    {
        for (duration passed{}; passed < length; passed += step) {
            clock.advance(step);
            if (link.next_timer() <= clock.now()) {
                apply(link.tick(clock.now()));
            }
        }
    }

    void apply(const link_effects& effects)
    {
        for (const auto& it : effects) {
            std::visit(
                overloaded{
                    [&](const open_connection& e) { open(e.connection); },
                    [&](const drop_connection& e) { connections.erase(e.connection); },
                    [&](const send_heartbeat& e) { reply_to(e); },
                    [&](const use_connection& e) { activated_connections.push_back(e.connection); },
                    [&](const link_lost&) { ++lost_count; }},
                it);
            max_open_connections = std::max(max_open_connections, connections.size());
        }
    }

    /// Makes the peer ignore all connections that are open now.
    void silence_open_connections() { silent_connections = connections; }

    manual_clock clock;
    link_liveness link;
    std::set<connection_number> connections;
    std::set<connection_number> silent_connections;
    std::vector<connection_number> activated_connections;
    std::size_t max_open_connections = 0;
    int lost_count = 0;
    int dropped_connection_uses = 0; ///< Heartbeats sent on closed connections.
    bool refuses_connections = false;

private:
    void open(connection_number connection)
    {
        if (refuses_connections) {
            apply(link.closed(connection, clock.now()));
            return;
        }
        connections.insert(connection);
        apply(link.connected(connection, clock.now()));
    }

    void reply_to(const send_heartbeat& it)
    {
        dropped_connection_uses += connections.contains(it.connection) ? 0 : 1;
        if (!it.message.is_reply && !silent_connections.contains(it.connection)) {
            apply(link.received(it.connection, {it.message.sequence, true}, clock.now()));
        }
    }
};

TEST(link_liveness, keeps_a_connection_that_answers)
{
    fake_link it;
    it.run(60s);
    EXPECT_EQ(it.activated_connections, std::vector{connection_number{1}});
    EXPECT_EQ(it.lost_count, 0);
}

TEST(link_liveness, replaces_a_silent_connection_before_the_link_is_lost)
{
    fake_link it;
    it.run(5s);
    it.silence_open_connections();
    it.run(link_settings{}.receive_timeout + link_settings{}.heartbeat_interval + step);
    EXPECT_EQ(it.link.active(), connection_number{2});
    EXPECT_EQ(it.connections, std::set{connection_number{2}});
    EXPECT_EQ(it.lost_count, 0);
}

TEST(link_liveness, keeps_the_old_connection_while_new_ones_fail)
{
    fake_link it;
    it.run(5s);
    it.silence_open_connections();
    it.refuses_connections = true;
    it.run(4s);
    EXPECT_EQ(it.link.active(), connection_number{1});
    it.silent_connections.clear();
    it.run(2s);
    EXPECT_EQ(it.link.active(), connection_number{1});
    EXPECT_EQ(it.connections, std::set{connection_number{1}});
}

TEST(link_liveness, reports_a_lost_link_once_and_retries_with_backoff)
{
    fake_link it;
    it.refuses_connections = true;
    it.apply(it.link.closed(connection_number{1}, it.clock.now()));
    it.run(60s);
    EXPECT_EQ(it.lost_count, 1);
    it.refuses_connections = false;
    it.run(link_settings{}.max_backoff * 3 / 2);
    EXPECT_TRUE(it.link.active());
    EXPECT_LT(it.activated_connections.back().value(), 25U);
}

TEST(link_liveness, keeps_its_connection_after_a_pause_of_the_process)
{
    fake_link it;
    it.run(5s);
    it.clock.advance(60s);
    it.apply(it.link.tick(it.clock.now()));
    it.run(5s);
    EXPECT_EQ(it.activated_connections, std::vector{connection_number{1}});
    EXPECT_EQ(it.lost_count, 0);
}

RC_GTEST_PROP(link_liveness, works_again_after_any_faults,
              (const std::vector<std::uint8_t>& faults))
{
    fake_link it;
    for (const auto fault : faults) {
        it.refuses_connections = fault % 4 == 1;
        if (fault % 4 == 2) {
            it.silence_open_connections();
        }
        if (fault % 4 == 3 && !it.connections.empty()) {
            const auto broken = *it.connections.begin();
            it.connections.erase(broken);
            it.apply(it.link.closed(broken, it.clock.now()));
        }
        it.run(step * (fault / 4));
    }
    it.refuses_connections = false;
    it.run(20s);
    RC_ASSERT(it.link.active().has_value());
    RC_ASSERT(!it.silent_connections.contains(*it.link.active()));
    RC_ASSERT(it.connections.size() == 1U);
    RC_ASSERT(it.max_open_connections <= 2U);
    RC_ASSERT(it.dropped_connection_uses == 0);
}

} // namespace
} // namespace endivelatch

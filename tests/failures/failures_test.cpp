#include "fleet.hpp"
#include "response_check.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace endivelatch::failures {
namespace {

using std::chrono::seconds;

constexpr duration long_limit = seconds{40};

/// Every test gets a fleet of its own.
class fleet_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(f.wait_until_ready()); }

    void wait(duration time)
    {
        f.http.run_until([] { return false; }, time);
    }

    /// Starts one booking a key, spread over the given routers.
    std::map<std::string, reply*> start_bookings(int n, const std::vector<int>& at_routers)
    {
        std::map<std::string, reply*> started;
        for (int i = 0; i < n; ++i) {
            const auto key = f.new_key();
            const int router = at_routers[static_cast<std::size_t>(i) % at_routers.size()];
            started[key] = &f.http.start(f.booking(router, key, "{}"));
        }
        return started;
    }

    void wait_for_all(const std::map<std::string, reply*>& started)
    {
        EXPECT_TRUE(f.http.run_until(
            [&] {
                return std::all_of(started.begin(), started.end(),
                                   [](const auto& it) { return it.second->ended; });
            },
            long_limit));
    }

    /// Repeats each booking that was not told as complete, and checks the service's own record.
    void check_bookings(const std::map<std::string, reply*>& started, int router)
    {
        const auto runs_before = f.runs();
        std::map<std::string, int> outcomes;
        for (const auto& [key, r] : started) {
            const auto told = r->ended && r->whole ? told_outcome(*r) : "none";
            ++outcomes[told];
            const int n = runs_before.contains(key) ? runs_before.at(key) : 0;
            if (told == "complete") {
                EXPECT_EQ(n, 1) << key;
            }
            if (told == "not_run") {
                EXPECT_EQ(n, 0) << key;
            }
        }
        std::map<std::string, reply*> repeated;
        for (const auto& [key, r] : started) {
            repeated[key] = &f.http.start(f.booking(router, key, "{}"));
        }
        wait_for_all(repeated);
        for (const auto& [key, again] : repeated) {
            ++outcomes["retry " + told_outcome(*again)];
            const auto& first = *started.at(key);
            const bool was_complete = first.whole && told_outcome(first) == "complete";
            if (was_complete && again->status == 200) {
                EXPECT_EQ(again->body, first.body) << key;
            }
        }
        for (const auto& [key, n] : f.runs()) {
            EXPECT_LE(n, 1) << key << " ran more than once";
        }
        for (const auto& [name, n] : outcomes) {
            std::cout << "bookings " << name << "=" << n << '\n';
        }
    }

    fleet f;
};

TEST_F(fleet_test, killed_router_never_makes_a_truncated_stream_look_complete)
{
    constexpr int tokens = 100;
    constexpr int stream_count = 6;
    std::vector<reply*> streams;
    streams.reserve(stream_count);
    for (int i = 0; i < stream_count; ++i) {
        streams.push_back(&f.http.start(f.chat(1, tokens, "chat-" + std::to_string(i))));
    }
    wait(seconds{1});
    f.routers[2]->kill();
    EXPECT_TRUE(f.http.run_until(
        [&] {
            return std::all_of(streams.begin(), streams.end(), [](auto* it) { return it->ended; });
        },
        long_limit));
    int complete = 0;
    for (const auto* it : streams) {
        EXPECT_TRUE(stream_is_honest(*it, tokens)) << it->body.substr(0, 200);
        complete += it->whole && told_outcome(*it) == "complete" ? 1 : 0;
    }
    std::cout << "streams=6 complete=" << complete << '\n';
    const auto after = f.http.ask(f.chat(1, 5, "after"));
    EXPECT_EQ(told_outcome(after), "complete");
}

TEST_F(fleet_test, bookings_run_at_most_once_when_a_router_is_killed)
{
    f.set_service({{"delay_ms", 300}});
    const auto started = start_bookings(30, {1, 2, 3});
    wait(std::chrono::milliseconds{400});
    f.routers[2]->kill();
    wait_for_all(started);
    check_bookings(started, 3);
}

TEST_F(fleet_test, bookings_run_at_most_once_when_a_router_is_paused)
{
    f.set_service({{"delay_ms", 300}});
    const auto started = start_bookings(30, {1, 3});
    wait(std::chrono::milliseconds{300});
    f.routers[2]->send(SIGSTOP);
    wait(seconds{8});
    f.routers[2]->send(SIGCONT);
    wait_for_all(started);
    check_bookings(started, 1);
}

TEST_F(fleet_test, bookings_run_at_most_once_when_platform_answers_are_lost)
{
    f.set_platform({{"lose_answers", 6}});
    const auto started = start_bookings(20, {1, 2, 3});
    wait_for_all(started);
    check_bookings(started, 2);
}

TEST_F(fleet_test, bookings_are_refused_as_not_run_while_the_platform_is_down)
{
    f.set_platform({{"outage", true}});
    const auto key = f.new_key();
    std::string told;
    f.http.run_until(
        [&] {
            told = told_outcome(f.http.ask(f.booking(1, key, "{}")));
            return told == "not_run";
        },
        long_limit);
    EXPECT_EQ(told, "not_run");
    EXPECT_FALSE(f.runs().contains(key));
    EXPECT_EQ(told_outcome(f.http.ask(f.chat(2, 5, "during"))), "complete");
    f.set_platform({{"outage", false}});
    const bool recovered = f.http.run_until(
        [&] { return f.http.ask(f.booking(1, key, "{}")).status == 200; }, long_limit);
    EXPECT_TRUE(recovered);
    EXPECT_EQ(f.runs().at(key), 1);
}

TEST_F(fleet_test, accepted_configuration_spreads_when_the_platform_dies_at_once)
{
    const auto answer = f.change(1, "PUT", "organisations/late",
                                 {{"models", {"m"}}, {"services", nlohmann::json::array()}});
    f.set_platform({{"outage", true}});
    ASSERT_EQ(answer.status, 200) << answer.body;
    const auto version =
        nlohmann::json::parse(answer.body).at("object_version").get<std::uint64_t>();
    const auto in_force = [&](int n) {
        const auto status = f.status(n);
        return status.is_object() &&
               status.value("configuration_version", std::uint64_t{0}) >= version;
    };
    EXPECT_TRUE(
        f.http.run_until([&] { return in_force(1) && in_force(2) && in_force(3); }, seconds{3}));
    f.routers[3]->kill();
    f.start_router(3);
    EXPECT_TRUE(f.http.run_until([&] { return in_force(3); }, seconds{20}))
        << "a router that boots during the outage misses the change";
}

TEST_F(fleet_test, planned_stop_lets_running_streams_end)
{
    constexpr int tokens = 150;
    auto& stream = f.http.start(f.chat(1, tokens, "stop"));
    wait(seconds{1});
    f.routers[1]->send(SIGTERM);
    f.routers[2]->send(SIGTERM);
    EXPECT_TRUE(f.http.run_until([&] { return stream.ended; }, long_limit));
    EXPECT_TRUE(stream.whole);
    EXPECT_EQ(told_outcome(stream), "complete");
    EXPECT_EQ(numbered_events(stream), tokens);
    EXPECT_TRUE(f.http.run_until(
        [&] { return f.routers[1]->exit_code() == 0 && f.routers[2]->exit_code() == 0; },
        long_limit));
}

TEST_F(fleet_test, draining_target_gets_no_new_work)
{
    f.change(2, "PUT", "targets/engine-1",
             {{"pool", "pedals"},
              {"domain", "d1"},
              {"region", "east"},
              {"kind", "engine"},
              {"url", f.engine_url(1)},
              {"draining", true}});
    wait(seconds{3});
    const auto before = f.engine_record(1).at("attempts").size();
    for (int i = 0; i < 12; ++i) {
        const auto r = f.http.ask(f.chat(1 + i % 3, 2, "drain-" + std::to_string(i)));
        EXPECT_EQ(told_outcome(r), "complete");
    }
    EXPECT_EQ(f.engine_record(1).at("attempts").size(), before);
}

} // namespace
} // namespace endivelatch::failures

#include "fleet.hpp"
#include "response_check.hpp"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>

namespace endivelatch::failures {
namespace {

using std::chrono::seconds;

constexpr duration completion_timeout = seconds{40};

/// Starts a separate fleet for each test.
class fleet_test : public testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(f.wait_until_ready()); }

    void run_for(duration time)
    {
        f.http.run_until([] { return false; }, time);
    }

    /// Starts bookings with distinct keys, distributed over the given routers.
    std::map<std::string, test_response*> start_bookings(int n, const std::vector<int>& routers)
    {
        std::map<std::string, test_response*> started;
        for (int i = 0; i < n; ++i) {
            const auto key = f.new_idempotency_key();
            const int router = routers[static_cast<std::size_t>(i) % routers.size()];
            started[key] = &f.http.start(f.booking_request(router, key, "{}"));
        }
        return started;
    }

    void wait_for_all(const std::map<std::string, test_response*>& started)
    {
        EXPECT_TRUE(f.http.run_until(
            [&] {
                return std::all_of(started.begin(), started.end(),
                                   [](const auto& it) { return it.second->has_ended; });
            },
            completion_timeout));
    }

    /// Checks the outcomes against the run counts of the service, then repeats every booking and
    /// checks that none runs more than once.
    void check_bookings(const std::map<std::string, test_response*>& started, int router)
    {
        const auto runs_before = f.booking_runs();
        std::map<std::string, int> outcomes;
        for (const auto& [key, r] : started) {
            const auto outcome = r->has_ended && r->is_complete ? reported_outcome(*r) : "none";
            ++outcomes[outcome];
            const int n = runs_before.contains(key) ? runs_before.at(key) : 0;
            if (outcome == "complete") {
                EXPECT_EQ(n, 1) << key;
            }
            if (outcome == "not_run") {
                EXPECT_EQ(n, 0) << key;
            }
        }
        std::map<std::string, test_response*> repeated;
        for (const auto& [key, r] : started) {
            repeated[key] = &f.http.start(f.booking_request(router, key, "{}"));
        }
        wait_for_all(repeated);
        for (const auto& [key, again] : repeated) {
            ++outcomes["retry " + reported_outcome(*again)];
            const auto& first = *started.at(key);
            const bool was_complete = first.is_complete && reported_outcome(first) == "complete";
            if (was_complete && again->status == 200) {
                EXPECT_EQ(again->body, first.body) << key;
            }
        }
        for (const auto& [key, n] : f.booking_runs()) {
            EXPECT_LE(n, 1) << key << " ran more than once";
        }
        for (const auto& [name, n] : outcomes) {
            std::cout << "bookings " << name << "=" << n << '\n';
        }
    }

    fleet f;
};

TEST_F(fleet_test, truncated_stream_is_not_reported_complete_when_a_router_is_killed)
{
    constexpr int tokens = 100;
    constexpr int stream_count = 6;
    std::vector<test_response*> streams;
    streams.reserve(stream_count);
    for (int i = 0; i < stream_count; ++i) {
        streams.push_back(&f.http.start(f.chat_request(1, tokens, "chat-" + std::to_string(i))));
    }
    run_for(seconds{1});
    f.routers[2]->kill();
    EXPECT_TRUE(f.http.run_until(
        [&] {
            return std::all_of(streams.begin(), streams.end(),
                               [](auto* it) { return it->has_ended; });
        },
        completion_timeout));
    int complete = 0;
    for (const auto* it : streams) {
        EXPECT_TRUE(reports_completeness_correctly(*it, tokens)) << it->body.substr(0, 200);
        complete += it->is_complete && reported_outcome(*it) == "complete" ? 1 : 0;
    }
    std::cout << "streams=6 complete=" << complete << '\n';
    const auto after = f.http.send_and_wait(f.chat_request(1, 5, "after"));
    EXPECT_EQ(reported_outcome(after), "complete");
}

TEST_F(fleet_test, bookings_run_at_most_once_when_a_router_is_killed)
{
    f.control_service({{"delay_ms", 300}});
    const auto started = start_bookings(30, {1, 2, 3});
    run_for(std::chrono::milliseconds{400});
    f.routers[2]->kill();
    wait_for_all(started);
    check_bookings(started, 3);
}

TEST_F(fleet_test, bookings_run_at_most_once_when_a_router_is_paused)
{
    f.control_service({{"delay_ms", 300}});
    const auto started = start_bookings(30, {1, 3});
    run_for(std::chrono::milliseconds{300});
    f.routers[2]->send(SIGSTOP);
    run_for(seconds{8});
    f.routers[2]->send(SIGCONT);
    wait_for_all(started);
    check_bookings(started, 1);
}

TEST_F(fleet_test, bookings_run_at_most_once_when_platform_answers_are_lost)
{
    f.control_platform({{"lose_answers", 6}});
    const auto started = start_bookings(20, {1, 2, 3});
    wait_for_all(started);
    check_bookings(started, 2);
}

TEST_F(fleet_test, bookings_are_refused_as_not_run_while_the_platform_is_down)
{
    f.control_platform({{"outage", true}});
    const auto key = f.new_idempotency_key();
    std::string outcome;
    f.http.run_until(
        [&] {
            outcome = reported_outcome(f.http.send_and_wait(f.booking_request(1, key, "{}")));
            return outcome == "not_run";
        },
        completion_timeout);
    EXPECT_EQ(outcome, "not_run");
    EXPECT_FALSE(f.booking_runs().contains(key));
    EXPECT_EQ(reported_outcome(f.http.send_and_wait(f.chat_request(2, 5, "during"))), "complete");
    f.control_platform({{"outage", false}});
    const bool recovered = f.http.run_until(
        [&] { return f.http.send_and_wait(f.booking_request(1, key, "{}")).status == 200; },
        completion_timeout);
    EXPECT_TRUE(recovered);
    EXPECT_EQ(f.booking_runs().at(key), 1);
}

TEST_F(fleet_test, accepted_configuration_reaches_all_routers_during_a_platform_outage)
{
    const auto response = f.send_admin_request(
        1, "PUT", "organisations/late", {{"models", {"m"}}, {"services", nlohmann::json::array()}});
    f.control_platform({{"outage", true}});
    ASSERT_EQ(response.status, 200) << response.body;
    const auto version =
        nlohmann::json::parse(response.body).at("object_version").get<std::uint64_t>();
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
        << "a router started during the outage does not get the change";
}

TEST_F(fleet_test, graceful_shutdown_completes_running_streams)
{
    constexpr int tokens = 150;
    auto& stream = f.http.start(f.chat_request(1, tokens, "stop"));
    run_for(seconds{1});
    f.routers[1]->send(SIGTERM);
    f.routers[2]->send(SIGTERM);
    EXPECT_TRUE(f.http.run_until([&] { return stream.has_ended; }, completion_timeout));
    EXPECT_TRUE(stream.is_complete);
    EXPECT_EQ(reported_outcome(stream), "complete");
    EXPECT_EQ(count_numbered_events(stream), tokens);
    EXPECT_TRUE(f.http.run_until(
        [&] { return f.routers[1]->exit_code() == 0 && f.routers[2]->exit_code() == 0; },
        completion_timeout));
}

TEST_F(fleet_test, draining_target_receives_no_new_requests)
{
    f.send_admin_request(2, "PUT", "targets/engine-1",
                         {{"pool", "pedals"},
                          {"domain", "d1"},
                          {"region", "east"},
                          {"kind", "engine"},
                          {"url", f.engine_url(1)},
                          {"draining", true}});
    run_for(seconds{3});
    const auto before = f.engine_record(1).at("attempts").size();
    for (int i = 0; i < 12; ++i) {
        const auto r =
            f.http.send_and_wait(f.chat_request(1 + i % 3, 2, "drain-" + std::to_string(i)));
        EXPECT_EQ(reported_outcome(r), "complete");
    }
    EXPECT_EQ(f.engine_record(1).at("attempts").size(), before);
}

} // namespace
} // namespace endivelatch::failures

#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include "endivelatch/entry/watchers.hpp"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch::serve {
namespace {

using fault = standins::replica_standin::fault;
using mode = standins::store_standin::mode;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One router with three replicas.
struct one_router : testing::Test {
    serve_fleet fleet{1};

    void set_faults(fault f)
    {
        for (const auto& it : fleet.replicas) {
            it->set_fault(f);
        }
    }

    /// Returns the number of runs of an attempt on all replicas.
    int runs(const std::string& attempt) const
    {
        int sum = 0;
        for (const auto& it : fleet.replicas) {
            const auto found = it->runs().find(attempt);
            sum += found == it->runs().end() ? 0 : found->second;
        }
        return sum;
    }

    static std::string complete_stream()
    {
        std::string body;
        for (int n = 1; n <= standins::replica_standin::event_count; ++n) {
            body += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
        }
        return body;
    }
};

struct two_routers : testing::Test {
    serve_fleet fleet{2};
};

TEST_F(one_router, forwards_requests_unchanged_and_returns_the_response)
{
    const auto response = fleet.send_and_wait(1, "/unsafe/a%20b?c=%41", "a1");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "POST /unsafe/a%20b?c=%41 body");
    EXPECT_NE(find_header_ignoring_case(response.headers, "Endivelatch-Response-Signature"),
              nullptr);
    EXPECT_EQ(find_header_ignoring_case(response.headers, "Endivelatch-Instance-Load"), nullptr);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, streams_complete_responses)
{
    const auto response = fleet.send_and_wait(1, "/once/stream/x", "a1");
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(response.body, complete_stream());
}

TEST_F(one_router, unsafe_request_runs_once_and_gets_502_when_the_response_is_lost)
{
    set_faults(fault::drop_response);
    const auto response = fleet.send_and_wait(1, "/unsafe/x", "a1");
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, retries_rejected_requests_on_other_replicas_and_returns_503_when_all_reject)
{
    fleet.replicas[0]->set_fault(fault::reject);
    fleet.replicas[1]->set_fault(fault::reject);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a" + std::to_string(i)).status, 200);
    }
    set_faults(fault::reject);
    const auto response = fleet.send_and_wait(1, "/unsafe/x", "b1");
    EXPECT_EQ(response.status, 503);
    EXPECT_NE(find_header_ignoring_case(response.headers, "Retry-After"), nullptr);
    EXPECT_EQ(runs("b1"), 0);
}

TEST_F(one_router, retries_safe_requests_when_a_replica_drops_responses_or_hangs)
{
    for (const auto f : {fault::drop_response, fault::hang}) {
        fleet.replicas[0]->set_fault(f);
        for (int i = 0; i < 6; ++i) {
            const auto attempt = std::to_string(static_cast<int>(f)) + "-" + std::to_string(i);
            EXPECT_EQ(fleet.send_and_wait(1, "/safe/x", attempt).status, 200);
            EXPECT_LE(runs(attempt), 2);
        }
    }
}

TEST_F(one_router, returns_502_for_unsigned_and_truncated_responses_and_forwards_errors)
{
    for (const auto f : {fault::unsigned_success, fault::truncate}) {
        set_faults(f);
        const auto response =
            fleet.send_and_wait(1, "/unsafe/x", "a" + std::to_string(static_cast<int>(f)));
        EXPECT_EQ(response.status, 502);
    }
    set_faults(fault::server_error);
    const auto failed = fleet.send_and_wait(1, "/unsafe/x", "c1");
    EXPECT_EQ(failed.status, 500);
    EXPECT_EQ(failed.body, "error");
}

TEST_F(one_router, resumes_resumable_streams_on_another_replica_and_truncates_others)
{
    for (const auto& it : fleet.replicas) {
        it->set_fault(fault::truncate);
    }
    const auto cut = fleet.send_and_wait(1, "/once/stream/x", "a1");
    EXPECT_FALSE(cut.is_complete);
    EXPECT_EQ(runs("a1"), 1);
    const auto id = fleet.send(1, "/again/stream/x", "a2");
    run_until(fleet.loop, [&] { return runs("a2") == 1; });
    for (const auto& it : fleet.replicas) {
        if (it->runs().contains("a2")) {
            continue;
        }
        it->set_fault(fault::none);
    }
    const auto& resumed = fleet.wait_for_response(id);
    EXPECT_TRUE(resumed.is_complete);
    EXPECT_EQ(resumed.body, complete_stream());
    EXPECT_EQ(runs("a2"), 2);
}

TEST_F(one_router, cancels_the_request_at_the_replica_when_the_caller_disconnects)
{
    set_faults(fault::hang);
    const auto id = fleet.send(1, "/unsafe/x", "a1");
    run_until(fleet.loop, [&] { return runs("a1") == 1; });
    fleet.client_connections.cancel(id);
    run_until(fleet.loop, [&] {
        return std::any_of(fleet.replicas.begin(), fleet.replicas.end(),
                           [](const auto& it) { return it->cancelled_requests() == 1; });
    });
}

TEST_F(one_router, returns_504_when_the_replica_does_not_respond)
{
    set_faults(fault::hang);
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a1").status, 504);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, applies_newer_configurations_and_their_keys)
{
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a1", "other").status, 401);
    EXPECT_EQ(fleet.send_and_wait(1, "/nowhere/x", "a2").status, 404);
    fleet.write_configuration(2, {"other"});
    run_until(fleet.loop,
              [&] { return fleet.send_and_wait(1, "/unsafe/x", "b", "other").status == 200; });
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a3").status, 401);
    fleet.write_configuration(1, {"key"}); // The older version must be ignored.
    run_for(fleet.loop, milliseconds{100});
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a4").status, 401);
}

TEST_F(one_router, sends_nothing_to_draining_or_removed_replicas_and_ignores_invalid_registrations)
{
    fleet.store.put("servers", "i-bad", {{"Service", 5}});
    fleet.store.put("servers", "i-1", fleet.replicas[0]->registration("draining"));
    fleet.store.remove("servers", "i-2");
    run_for(fleet.loop, milliseconds{200});
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a" + std::to_string(i)).status, 200);
    }
    EXPECT_EQ(fleet.replicas[2]->runs().size(), 10U);
    EXPECT_NE(fleet.log(1).find("event=registration_unreadable target=i-bad"), std::string::npos);
}

TEST_F(one_router, lists_again_when_the_store_discards_its_history)
{
    fleet.store.discard_history();
    fleet.write_configuration(3, {"third"});
    run_until(fleet.loop,
              [&] { return fleet.send_and_wait(1, "/unsafe/x", "b", "third").status == 200; });
    EXPECT_NE(fleet.log(1).find("event=store_history_gone"), std::string::npos);
}

TEST_F(one_router, serves_during_a_store_outage_and_catches_up_afterwards)
{
    fleet.store.set_mode(mode::unresponsive);
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a1").status, 200);
    run_until(fleet.loop, [&] {
        return fleet.log(1).find("event=store_lost kind=configuration") != std::string::npos;
    });
    fleet.write_configuration(4, {"fourth"});
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a2").status, 200);
    fleet.store.set_mode(mode::normal);
    run_until(fleet.loop,
              [&] { return fleet.send_and_wait(1, "/unsafe/x", "b", "fourth").status == 200; });
}

TEST_F(one_router, graceful_shutdown_fails_readiness_immediately_and_completes_streams)
{
    const auto id = fleet.send(1, "/once/stream/x", "a1");
    run_until(fleet.loop, [&] { return runs("a1") == 1; });
    fleet.routers[1]->send(SIGTERM);
    run_until(fleet.loop, [&] { return fleet.readiness(1) != 200; });
    const auto& response = fleet.wait_for_response(id);
    EXPECT_TRUE(response.is_complete);
    EXPECT_EQ(response.body, complete_stream());
    run_until(fleet.loop, [&] { return fleet.routers[1]->exit_code() == 0; });
    EXPECT_NE(fleet.log(1).find("event=stopped active=0"), std::string::npos);
}

TEST_F(one_router, reloads_changed_settings_and_keeps_the_current_ones_if_invalid)
{
    std::ofstream{fleet.settings_path(1)} << "NodeName = 5\n";
    fleet.routers[1]->send(SIGHUP);
    run_until(fleet.loop,
              [&] { return fleet.log(1).find("event=settings_kept") != std::string::npos; });
    EXPECT_NE(fleet.log(1).find("Listen.Frontend"), std::string::npos);
    std::ofstream{fleet.settings_path(1)} << fleet.settings(1) << "# changed\n";
    run_until(fleet.loop, [&] {
        return fleet.log(1).find("event=settings_reloaded cause=file") != std::string::npos;
    });
    EXPECT_EQ(fleet.send_and_wait(1, "/unsafe/x", "a1").status, 200);
}

TEST_F(one_router, exports_counters_and_histograms)
{
    fleet.send_and_wait(1, "/unsafe/x", "a1");
    const auto text = fleet.get(fleet.metrics_endpoint(1), "/metrics").body;
    EXPECT_NE(text.find("endivelatch_requests_finished{outcome=\"complete\"} 1"),
              std::string::npos);
    EXPECT_NE(text.find("endivelatch_request_duration_seconds_count 1"), std::string::npos);
}

TEST_F(one_router, status_command_prints_the_router_state)
{
    fleet.send_and_wait(1, "/unsafe/x", "a1");
    const auto address = fleet.metrics_endpoint(1);
    const auto metrics_address = address.address + ":" + std::to_string(address.port);
    std::string text;
    run_until(fleet.loop, [&] {
        const auto [printed, code] = fleet.run_command({"status", "--metrics=" + metrics_address});
        text = printed;
        return code == 0; // The gauges are updated once per second.
    });
    EXPECT_NE(text.find(metrics_address), std::string::npos) << text;
    fleet.routers[1]->kill();
    const auto [printed, code] = fleet.run_command({"status", "--metrics=" + metrics_address});
    EXPECT_EQ(code, 1);
    EXPECT_NE(printed.find("does not answer"), std::string::npos) << printed;
}

TEST_F(one_router, explain_command_reads_the_router_log)
{
    fleet.send_and_wait(1, "/unsafe/x", "a1");
    fleet.send_and_wait(1, "/unsafe/x", "a2", "no such key");
    const auto served = fleet.run_command({"explain", "a1", fleet.log_path(1)});
    EXPECT_EQ(served.second, 0);
    EXPECT_NE(served.first.find("outcome: answered completely with 200"), std::string::npos)
        << served.first;
    const auto refused = fleet.run_command({"explain", "a2", fleet.log_path(1)});
    EXPECT_NE(refused.first.find("refused on arrival with 401 (unknown key)"), std::string::npos)
        << refused.first;
    EXPECT_EQ(fleet.run_command({"explain", "a3", fleet.log_path(1)}).second, 1);
}

TEST_F(one_router, check_command_validates_settings_and_configuration)
{
    EXPECT_EQ(fleet.run_command({"check", "boot", fleet.settings_path(1)}).second, 0);
    const auto path = fleet.settings_path(1) + ".bad";
    std::ofstream{path} << "NodeName = 5\n[Bounds]\nGraceS = -1\n";
    const auto settings = fleet.run_command({"check", "boot", path});
    EXPECT_EQ(settings.second, 2);
    for (const auto* place : {"NodeName", "Bounds.GraceS", "Listen.Frontend"}) {
        EXPECT_NE(settings.first.find(place), std::string::npos) << settings.first;
    }
    std::ofstream{path} << fleet.store.objects("config").at("main").at("Spec").dump();
    const auto good = fleet.run_command({"check", "configuration", path});
    EXPECT_EQ(good.second, 0) << good.first;
    std::ofstream{path} << R"({"Version":"x"})";
    const auto bad = fleet.run_command({"check", "configuration", path});
    EXPECT_EQ(bad.second, 2);
    EXPECT_NE(bad.first.find("Version"), std::string::npos) << bad.first;
}

TEST_F(one_router, changes_the_log_level_on_signals)
{
    const auto wait_for = [&](const std::string& text) {
        run_until(fleet.loop, [&] { return fleet.log(1).find(text) != std::string::npos; });
    };
    fleet.routers[1]->send(SIGUSR2);
    wait_for("event=log_level level=warning");
    fleet.send_and_wait(1, "/unsafe/x", "a1");
    fleet.send_and_wait(1, "/unsafe/x", "a2", "no such key");
    wait_for("event=request_refused request=a2");
    EXPECT_EQ(fleet.log(1).find("request=a1"), std::string::npos);
    fleet.routers[1]->send(SIGUSR1);
    wait_for("event=log_level level=info");
    fleet.send_and_wait(1, "/unsafe/x", "a3");
    wait_for("event=request_finished request=a3");
}

struct ten_routers : testing::Test {
    serve_fleet fleet{10};
};

TEST_F(ten_routers, only_elected_watchers_watch_the_store_and_all_routers_get_the_configuration)
{
    constexpr std::size_t kinds = 2;
    const auto only_watchers_wait = [&] {
        run_for(fleet.loop, milliseconds{50});
        return fleet.store.pending_watches() == min_watchers * kinds;
    };
    run_until(fleet.loop, only_watchers_wait);
    fleet.write_configuration(2, {"second"});
    for (int n = 1; n <= 10; ++n) {
        int tries = 0;
        run_until(fleet.loop, [&] {
            ++tries;
            const auto attempt = std::to_string(n) + "-" + std::to_string(tries);
            return fleet.send_and_wait(n, "/unsafe/x", attempt, "second").status == 200;
        });
    }
    // A router has no pending watch between two of its watches.
    EXPECT_LE(fleet.store.pending_watches(), min_watchers * kinds);
    run_until(fleet.loop, only_watchers_wait);
}

TEST_F(ten_routers, read_a_large_configuration_from_the_store)
{
    run_until(fleet.loop, [&] {
        run_for(fleet.loop, milliseconds{50});
        return fleet.store.pending_watches() == min_watchers * 2;
    });
    std::vector<std::string> keys{"second"};
    for (int n = 0; n < 2'000; ++n) {
        keys.push_back("key-of-some-length-" + std::to_string(n));
    }
    const std::size_t size = keys.size() * keys.back().size();
    fleet.write_configuration(2, keys);
    std::uint64_t sent = 0;
    for (int n = 1; n <= 10; ++n) {
        int tries = 0;
        run_until(fleet.loop, [&] {
            const auto attempt = std::to_string(n) + "-" + std::to_string(++tries);
            return fleet.send_and_wait(n, "/unsafe/x", attempt, "second").status == 200;
        });
        const auto text = fleet.get(fleet.metrics_endpoint(n), "/metrics").body;
        const std::string name = "\nendivelatch_copy_bytes_sent ";
        const auto at = text.find(name);
        sent += at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size()));
    }
    EXPECT_LT(sent, size); // Forwarding it between routers would send it six times.
}

TEST_F(two_routers, list_each_other_as_entries_until_one_stops)
{
    const auto list = [&] {
        return fleet.get(fleet.directory_endpoint(1), "/-/resolve?Name=h&Zone=z").body;
    };
    const auto second = fleet.frontend_endpoint(2).address;
    run_until(fleet.loop, [&] { return list().find(second) != std::string::npos; });
    fleet.routers[2]->send(SIGTERM);
    run_until(fleet.loop, [&] { return list().find(second) == std::string::npos; });
    EXPECT_NE(list().find(fleet.frontend_endpoint(1).address), std::string::npos);
}

TEST_F(two_routers, router_started_during_a_store_outage_copies_the_configuration_from_its_peer)
{
    run_until(fleet.loop, [&] {
        return fleet.log(1).find("event=router_changed router=edge-2") != std::string::npos;
    });
    fleet.store.set_mode(mode::unavailable);
    fleet.routers[2]->kill();
    fleet.start(2);
    run_until(fleet.loop, [&] {
        run_for(fleet.loop, milliseconds{20});
        return fleet.readiness(2) == 200;
    });
    EXPECT_EQ(fleet.send_and_wait(2, "/unsafe/x", "a1").status, 200);
    EXPECT_NE(fleet.log(2).find("event=copy_read kind=configuration"), std::string::npos);
}

} // namespace
} // namespace endivelatch::serve

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

/// One router, or two, before three replicas.
struct one_router : testing::Test {
    serve_fleet fleet{1};

    void set_faults(fault f)
    {
        for (const auto& it : fleet.replicas) {
            it->set_fault(f);
        }
    }

    /// Returns on how many replicas an attempt has run.
    int runs(const std::string& attempt) const
    {
        int sum = 0;
        for (const auto& it : fleet.replicas) {
            const auto found = it->runs().find(attempt);
            sum += found == it->runs().end() ? 0 : found->second;
        }
        return sum;
    }

    static std::string whole_stream()
    {
        std::string body;
        for (int n = 1; n <= standins::replica_standin::events; ++n) {
            body += "id: " + std::to_string(n) + "\ndata: event " + std::to_string(n) + "\n\n";
        }
        return body;
    }
};

struct two_routers : testing::Test {
    serve_fleet fleet{2};
};

TEST_F(one_router, passes_a_request_on_unchanged_and_its_answer_back)
{
    const auto answer = fleet.ask(1, "/unsafe/a%20b?c=%41", "a1");
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.body, "POST /unsafe/a%20b?c=%41 body");
    EXPECT_NE(find_header_ignoring_case(answer.headers, "Endivelatch-Response-Signature"), nullptr);
    EXPECT_EQ(find_header_ignoring_case(answer.headers, "Endivelatch-Instance-Load"), nullptr);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, streams_whole_answers)
{
    const auto answer = fleet.ask(1, "/once/stream/x", "a1");
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(answer.body, whole_stream());
}

TEST_F(one_router, an_unsafe_request_whose_answer_is_lost_runs_once_and_gets_no_promise)
{
    set_faults(fault::loses);
    const auto answer = fleet.ask(1, "/unsafe/x", "a1");
    EXPECT_EQ(answer.status, 502);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, a_refused_request_goes_to_another_replica_and_is_refused_as_not_run)
{
    fleet.replicas[0]->set_fault(fault::refuses);
    fleet.replicas[1]->set_fault(fault::refuses);
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a" + std::to_string(i)).status, 200);
    }
    set_faults(fault::refuses);
    const auto answer = fleet.ask(1, "/unsafe/x", "b1");
    EXPECT_EQ(answer.status, 503);
    EXPECT_NE(find_header_ignoring_case(answer.headers, "Retry-After"), nullptr);
    EXPECT_EQ(runs("b1"), 0);
}

TEST_F(one_router, safe_requests_survive_a_replica_that_loses_answers_or_hangs)
{
    for (const auto f : {fault::loses, fault::hangs}) {
        fleet.replicas[0]->set_fault(f);
        for (int i = 0; i < 6; ++i) {
            const auto attempt = std::to_string(static_cast<int>(f)) + "-" + std::to_string(i);
            EXPECT_EQ(fleet.ask(1, "/safe/x", attempt).status, 200);
            EXPECT_LE(runs(attempt), 2);
        }
    }
}

TEST_F(one_router, an_answer_that_is_not_the_replicas_whole_answer_is_never_a_success)
{
    for (const auto f : {fault::unsigned_ok, fault::breaks_off}) {
        set_faults(f);
        const auto answer = fleet.ask(1, "/unsafe/x", "a" + std::to_string(static_cast<int>(f)));
        EXPECT_EQ(answer.status, 502);
    }
    set_faults(fault::errs);
    const auto failed = fleet.ask(1, "/unsafe/x", "c1");
    EXPECT_EQ(failed.status, 500);
    EXPECT_EQ(failed.body, "error");
}

TEST_F(one_router, a_resumable_stream_goes_on_elsewhere_and_another_is_cut)
{
    for (const auto& it : fleet.replicas) {
        it->set_fault(fault::breaks_off);
    }
    const auto cut = fleet.ask(1, "/once/stream/x", "a1");
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
    const auto& whole = fleet.wait(id);
    EXPECT_TRUE(whole.is_complete);
    EXPECT_EQ(whole.body, whole_stream());
    EXPECT_EQ(runs("a2"), 2);
}

TEST_F(one_router, a_caller_that_leaves_stops_the_run)
{
    set_faults(fault::hangs);
    const auto id = fleet.send(1, "/unsafe/x", "a1");
    run_until(fleet.loop, [&] { return runs("a1") == 1; });
    fleet.callers.cancel(id);
    run_until(fleet.loop, [&] {
        return std::any_of(fleet.replicas.begin(), fleet.replicas.end(),
                           [](const auto& it) { return it->abandoned() == 1; });
    });
}

TEST_F(one_router, a_silent_replica_ends_in_a_timeout_without_promise)
{
    set_faults(fault::hangs);
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a1").status, 504);
    EXPECT_EQ(runs("a1"), 1);
}

TEST_F(one_router, follows_the_configuration_and_its_keys)
{
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a1", "other").status, 401);
    EXPECT_EQ(fleet.ask(1, "/nowhere/x", "a2").status, 404);
    fleet.configure(2, {"other"});
    run_until(fleet.loop, [&] { return fleet.ask(1, "/unsafe/x", "b", "other").status == 200; });
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a3").status, 401);
    fleet.configure(1, {"key"}); // An older version, written again.
    run_for(fleet.loop, milliseconds{100});
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a4").status, 401);
}

TEST_F(one_router, a_leaving_replica_gets_nothing_new_and_a_bad_registration_loses_only_itself)
{
    fleet.store.put("servers", "i-bad", {{"Service", 5}});
    fleet.store.put("servers", "i-1", fleet.replicas[0]->registration("draining"));
    fleet.store.remove("servers", "i-2");
    run_for(fleet.loop, milliseconds{200});
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a" + std::to_string(i)).status, 200);
    }
    EXPECT_EQ(fleet.replicas[2]->runs().size(), 10U);
    EXPECT_NE(fleet.log(1).find("event=registration_unreadable target=i-bad"), std::string::npos);
}

TEST_F(one_router, lists_again_when_the_store_forgets_its_history)
{
    fleet.store.forget_history();
    fleet.configure(3, {"third"});
    run_until(fleet.loop, [&] { return fleet.ask(1, "/unsafe/x", "b", "third").status == 200; });
    EXPECT_NE(fleet.log(1).find("event=store_history_gone"), std::string::npos);
}

TEST_F(one_router, serves_while_the_store_is_away_and_follows_it_again)
{
    fleet.store.set_mode(mode::silent);
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a1").status, 200);
    run_until(fleet.loop, [&] {
        return fleet.log(1).find("event=store_lost kind=configuration") != std::string::npos;
    });
    fleet.configure(4, {"fourth"});
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a2").status, 200);
    fleet.store.set_mode(mode::well);
    run_until(fleet.loop, [&] { return fleet.ask(1, "/unsafe/x", "b", "fourth").status == 200; });
}

TEST_F(one_router, a_planned_stop_finishes_streams_and_refuses_readiness_at_once)
{
    const auto id = fleet.send(1, "/once/stream/x", "a1");
    run_until(fleet.loop, [&] { return runs("a1") == 1; });
    fleet.routers[1]->send(SIGTERM);
    run_until(fleet.loop, [&] { return fleet.readiness(1) != 200; });
    const auto& answer = fleet.wait(id);
    EXPECT_TRUE(answer.is_complete);
    EXPECT_EQ(answer.body, whole_stream());
    run_until(fleet.loop, [&] { return fleet.routers[1]->exit_code() == 0; });
    EXPECT_NE(fleet.log(1).find("event=stopped active=0"), std::string::npos);
}

TEST_F(one_router, rereads_its_settings_and_keeps_those_in_force_when_they_are_bad)
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
    EXPECT_EQ(fleet.ask(1, "/unsafe/x", "a1").status, 200);
}

TEST_F(one_router, serves_counters_and_histograms)
{
    fleet.ask(1, "/unsafe/x", "a1");
    const auto text = fleet.get(fleet.metrics(1), "/metrics").body;
    EXPECT_NE(text.find("endivelatch_requests_finished{outcome=\"complete\"} 1"),
              std::string::npos);
    EXPECT_NE(text.find("endivelatch_request_duration_seconds_count 1"), std::string::npos);
}

TEST_F(one_router, tells_its_state_to_the_status_command)
{
    fleet.ask(1, "/unsafe/x", "a1");
    const auto address = fleet.metrics(1);
    const auto metrics = address.address + ":" + std::to_string(address.port);
    std::string text;
    run_until(fleet.loop, [&] {
        const auto [printed, code] = fleet.run({"status", "--metrics=" + metrics});
        text = printed;
        return code == 0; // Gauges are set once a second.
    });
    EXPECT_NE(text.find(metrics), std::string::npos) << text;
    fleet.routers[1]->kill();
    const auto [printed, code] = fleet.run({"status", "--metrics=" + metrics});
    EXPECT_EQ(code, 1);
    EXPECT_NE(printed.find("does not answer"), std::string::npos) << printed;
}

TEST_F(one_router, writes_what_the_explain_command_needs)
{
    fleet.ask(1, "/unsafe/x", "a1");
    fleet.ask(1, "/unsafe/x", "a2", "no such key");
    const auto served = fleet.run({"explain", "a1", fleet.log_path(1)});
    EXPECT_EQ(served.second, 0);
    EXPECT_NE(served.first.find("outcome: answered completely with 200"), std::string::npos)
        << served.first;
    const auto refused = fleet.run({"explain", "a2", fleet.log_path(1)});
    EXPECT_NE(refused.first.find("refused on arrival with 401 (unknown key)"), std::string::npos)
        << refused.first;
    EXPECT_EQ(fleet.run({"explain", "a3", fleet.log_path(1)}).second, 1);
}

TEST_F(one_router, has_its_settings_and_configuration_checked)
{
    EXPECT_EQ(fleet.run({"check", "boot", fleet.settings_path(1)}).second, 0);
    const auto path = fleet.settings_path(1) + ".bad";
    std::ofstream{path} << "NodeName = 5\n[Bounds]\nGraceS = -1\n";
    const auto settings = fleet.run({"check", "boot", path});
    EXPECT_EQ(settings.second, 2);
    for (const auto* place : {"NodeName", "Bounds.GraceS", "Listen.Frontend"}) {
        EXPECT_NE(settings.first.find(place), std::string::npos) << settings.first;
    }
    std::ofstream{path} << fleet.store.objects("config").at("main").at("Spec").dump();
    const auto good = fleet.run({"check", "configuration", path});
    EXPECT_EQ(good.second, 0) << good.first;
    std::ofstream{path} << R"({"Version":"x"})";
    const auto bad = fleet.run({"check", "configuration", path});
    EXPECT_EQ(bad.second, 2);
    EXPECT_NE(bad.first.find("Version"), std::string::npos) << bad.first;
}

TEST_F(one_router, logs_less_and_more_when_it_is_told_to)
{
    const auto wait_for = [&](const std::string& text) {
        run_until(fleet.loop, [&] { return fleet.log(1).find(text) != std::string::npos; });
    };
    fleet.routers[1]->send(SIGUSR2);
    wait_for("event=log_level level=warning");
    fleet.ask(1, "/unsafe/x", "a1");
    fleet.ask(1, "/unsafe/x", "a2", "no such key");
    wait_for("event=request_refused request=a2");
    EXPECT_EQ(fleet.log(1).find("request=a1"), std::string::npos);
    fleet.routers[1]->send(SIGUSR1);
    wait_for("event=log_level level=info");
    fleet.ask(1, "/unsafe/x", "a3");
    wait_for("event=request_finished request=a3");
}

struct ten_routers : testing::Test {
    serve_fleet fleet{10};
};

TEST_F(ten_routers, few_watch_the_store_and_the_others_follow_them)
{
    constexpr std::size_t kinds = 2;
    const auto only_watchers_wait = [&] {
        run_for(fleet.loop, milliseconds{50});
        return fleet.store.watches() == min_watchers * kinds;
    };
    run_until(fleet.loop, only_watchers_wait);
    fleet.configure(2, {"second"});
    for (int n = 1; n <= 10; ++n) {
        int tries = 0;
        run_until(fleet.loop, [&] {
            ++tries;
            const auto attempt = std::to_string(n) + "-" + std::to_string(tries);
            return fleet.ask(n, "/unsafe/x", attempt, "second").status == 200;
        });
    }
    // Between two watches of one router none waits at the store.
    EXPECT_LE(fleet.store.watches(), min_watchers * kinds);
    run_until(fleet.loop, only_watchers_wait);
}

TEST_F(ten_routers, read_a_large_configuration_from_the_store)
{
    run_until(fleet.loop, [&] {
        run_for(fleet.loop, milliseconds{50});
        return fleet.store.watches() == min_watchers * 2;
    });
    std::vector<std::string> keys{"second"};
    for (int n = 0; n < 2'000; ++n) {
        keys.push_back("key-of-some-length-" + std::to_string(n));
    }
    const std::size_t size = keys.size() * keys.back().size();
    fleet.configure(2, keys);
    std::uint64_t sent = 0;
    for (int n = 1; n <= 10; ++n) {
        int tries = 0;
        run_until(fleet.loop, [&] {
            const auto attempt = std::to_string(n) + "-" + std::to_string(++tries);
            return fleet.ask(n, "/unsafe/x", attempt, "second").status == 200;
        });
        const auto text = fleet.get(fleet.metrics(n), "/metrics").body;
        const std::string name = "\nendivelatch_copy_bytes_sent ";
        const auto at = text.find(name);
        sent += at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size()));
    }
    EXPECT_LT(sent, size); // Passed on, it would have been sent six times.
}

TEST_F(two_routers, tell_callers_of_each_other_until_one_stops)
{
    const auto list = [&] { return fleet.get(fleet.entries(1), "/-/resolve?Name=h&Zone=z").body; };
    const auto second = fleet.requests(2).address;
    run_until(fleet.loop, [&] { return list().find(second) != std::string::npos; });
    fleet.routers[2]->send(SIGTERM);
    run_until(fleet.loop, [&] { return list().find(second) == std::string::npos; });
    EXPECT_NE(list().find(fleet.requests(1).address), std::string::npos);
}

TEST_F(two_routers, a_router_that_starts_while_the_store_is_away_learns_from_the_other)
{
    run_until(fleet.loop, [&] {
        return fleet.log(1).find("event=router_changed router=edge-2") != std::string::npos;
    });
    fleet.store.set_mode(mode::refusing);
    fleet.routers[2]->kill();
    fleet.start(2);
    run_until(fleet.loop, [&] {
        run_for(fleet.loop, milliseconds{20});
        return fleet.readiness(2) == 200;
    });
    EXPECT_EQ(fleet.ask(2, "/unsafe/x", "a1").status, 200);
    EXPECT_NE(fleet.log(2).find("event=copy_read kind=configuration"), std::string::npos);
}

} // namespace
} // namespace endivelatch::serve

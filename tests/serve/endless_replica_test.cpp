#include "endless_replica.hpp"
#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <string>
#include <string_view>

#include <gtest/gtest.h>

/// A replica in trouble sends bytes without end where an answer is due, until its caller closes.
/// Requests at sound replicas are served in time, and the memory of the router stays bounded.
namespace endivelatch::serve {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string signed_head = "HTTP/1.1 200 OK\r\nEndivelatch-Attempt-Id: ID\r\n"
                                "Endivelatch-Response-Signature: signed\r\n";
const std::string foreign_answer = "HTTP/1.1 200 OK\r\nEndivelatch-Attempt-Id: other\r\n"
                                   "Content-Length: 4\r\n\r\nlate";

struct trouble {
    std::string name;
    std::string head;
    std::string repeated;
};

struct router_with_endless_replica : testing::TestWithParam<trouble> {
    serve_fleet fleet{1};
};

TEST_P(router_with_endless_replica, serves_others_in_time_within_its_memory)
{
    /// The routes' timeout, and the time after it within which each request must have its answer.
    constexpr duration limit = milliseconds{1'500 + 500};
    constexpr std::size_t max_memory = 64'000'000;
    constexpr int requests = 60;
    endless_replica replica{GetParam().head, GetParam().repeated};
    auto registration = fleet.registration(0);
    registration["Address"] = "127.0.0.1:" + std::to_string(replica.address().port);
    registration["born"] = registration["born"].get<std::uint64_t>() + 1;
    fleet.store.put("servers", "i-1", registration);
    run_for(fleet.loop, milliseconds{300});
    std::map<outgoing_id, time_point> sent;
    std::map<outgoing_id, duration> took;
    for (int n = 0; n < requests; ++n) {
        const auto* path = n % 3 == 0 ? "/unsafe/x" : n % 3 == 1 ? "/again/stream/x" : "/safe/x";
        sent[fleet.send(1, path, "a" + std::to_string(n))] = fleet.loop.now();
        run_for(fleet.loop, milliseconds{25});
        for (const auto& [id, at] : sent) {
            if (fleet.responses[id].has_ended) {
                took.try_emplace(id, fleet.loop.now() - at);
            }
        }
    }
    const auto ends_at = fleet.loop.now() + limit;
    while (took.size() < sent.size() && fleet.loop.now() < ends_at) {
        run_for(fleet.loop, milliseconds{10});
        for (const auto& [id, at] : sent) {
            if (fleet.responses[id].has_ended) {
                took.try_emplace(id, fleet.loop.now() - at);
            }
        }
    }
    EXPECT_EQ(took.size(), sent.size()) << "requests without an answer";
    int served = 0;
    for (const auto& [id, time] : took) {
        EXPECT_LT(time, limit);
        served += fleet.responses[id].is_complete && fleet.responses[id].status == 200 ? 1 : 0;
    }
    EXPECT_GE(served, requests / 2);
    EXPECT_GT(replica.answers, 0);
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), -1);
    EXPECT_LT(fleet.routers.at(1)->peak_memory(), max_memory);
    RecordProperty("peak_memory_kb", std::to_string(fleet.routers.at(1)->peak_memory() / 1'000));
    RecordProperty("bytes_sent", std::to_string(replica.sent.load()));
}

INSTANTIATE_TEST_SUITE_P(
    all, router_with_endless_replica,
    testing::Values(
        trouble{"status_line", "HTTP/1.1 200 ", "x"},
        trouble{"header", "HTTP/1.1 200 OK\r\nX: ", "x"},
        trouble{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
        trouble{"interim_answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        trouble{"foreign_answers", "", foreign_answer},
        trouble{"foreign_body", "HTTP/1.1 200 OK\r\nEndivelatch-Attempt-Id: other\r\n\r\n", "x"},
        trouble{"body", signed_head + "\r\n", "x"},
        trouble{"chunk_size", signed_head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
        trouble{"chunk_extension", signed_head + "Transfer-Encoding: chunked\r\n\r\n5;", "x"},
        trouble{"trailer", signed_head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
        trouble{"line_feeds", signed_head + "\r\n", "\n"},
        trouble{"comments", signed_head + "\r\n", ": x\n\n"}, trouble{"not_http", "", "x"}),
    [](const auto& test) { return test.param.name; });

// A caller that does not read must not make the router hold what its replica sends.
TEST(endless_replica_test, fills_no_memory_behind_a_caller_that_does_not_read)
{
    constexpr std::size_t max_memory = 64'000'000;
    serve_fleet fleet{1};
    endless_replica replica{signed_head + "\r\n", "x"};
    for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
        auto registration = fleet.registration(n);
        registration["Address"] = "127.0.0.1:" + std::to_string(replica.address().port);
        registration["born"] = registration["born"].get<std::uint64_t>() + 1;
        fleet.store.put("servers", fleet.replicas[n]->id(), registration);
    }
    run_for(fleet.loop, milliseconds{300});
    std::vector<std::unique_ptr<tcp_stream>> callers;
    for (int n = 0; n < 10; ++n) {
        callers.push_back(std::make_unique<tcp_stream>(
            fleet.loop, fleet.frontend_endpoint(1),
            tcp_stream_callbacks{{}, [](std::string_view) {}, {}, [](const std::string&) {}}));
        callers.back()->out() =
            "POST /long/x HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: a" +
            std::to_string(n) + "\r\nAuthorization: Token key\r\nContent-Length: 0\r\n\r\n";
        run_for(fleet.loop, milliseconds{20});
        callers.back()->pause_reading(true);
    }
    run_for(fleet.loop, seconds{2});
    EXPECT_EQ(fleet.routers.at(1)->exit_code(), -1);
    EXPECT_LT(fleet.routers.at(1)->peak_memory(), max_memory);
}

} // namespace
} // namespace endivelatch::serve

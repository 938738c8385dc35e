#include "caller_crowd.hpp"
#include "endless_replica.hpp"
#include "serve_fleet.hpp"

#include "net/loopback.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

#include <gtest/gtest.h>

/// Callers outside the limits of the pages must not end a router, nor take more of its memory and
/// descriptors than the VM's limits leave to callers, nor keep it from answering others.
namespace endivelatch::serve {
namespace {

using fault = standins::replica_standin::fault;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Memory of the smallest VM, in MB. A router may use half of it at its peak.
constexpr int memory_mb = 112;
constexpr std::size_t max_memory = std::size_t{memory_mb} * 1'000'000 / 2;
/// Descriptors of the smallest VM, and fewer for tests of the descriptors. Files may take 200.
constexpr int descriptors = 2'870;
constexpr int few_descriptors = 600;
constexpr int descriptors_for_files = 200;
/// The operator's limit of a body.
constexpr int body_limit = 4'194'304;
/// Longest time for which a crowd sends.
constexpr duration crowd_time = seconds{8};

std::string request_line(const std::string& path = "/long/x")
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: crowd-ID\r\n"
           "Authorization: Token key\r\n";
}

std::string chunk(std::size_t payload, const std::string& extension = {})
{
    std::string out(16, '\0');
    out.resize(static_cast<std::size_t>(std::snprintf(out.data(), out.size(), "%zx", payload)));
    return out + extension + "\r\n" + std::string(payload, 'x') + "\r\n";
}

const std::string chunked_head = request_line() + "Transfer-Encoding: chunked\r\n\r\n";

std::string announced_head(std::size_t length)
{
    return request_line() + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// A router before a crowd of callers.
struct uncontrolled_callers : testing::Test {
    explicit uncontrolled_callers(int fds = descriptors)
        : max_descriptors{static_cast<std::size_t>(fds - descriptors_for_files)},
          fleet{1, serve_fleet::network_path::direct, {memory_mb, fds, body_limit}}
    {
    }

    /// Runs until the crowd has sent everything or its time is over.
    void run(const caller_crowd& crowd)
    {
        const auto ends_at = fleet.loop.now() + crowd_time;
        while (!crowd.is_done() && fleet.loop.now() < ends_at) {
            run_and_watch(milliseconds{20});
        }
        run_and_watch(milliseconds{300});
    }

    void run_and_watch(duration time)
    {
        run_for(fleet.loop, time);
        most_descriptors = std::max(most_descriptors, fleet.routers.at(1)->open_descriptors());
    }

    /// Sends an ordinary request, again when it is refused as not run.
    void expect_ordinary_request_answered()
    {
        constexpr int tries = 5;
        int status = 0;
        for (int n = 0; n < tries && status != 200; ++n) {
            status = fleet.send_and_wait(1, "/safe/x", "ordinary-" + std::to_string(n)).status;
            run_and_watch(status == 200 ? milliseconds{0} : seconds{1});
        }
        EXPECT_EQ(status, 200);
    }

    void expect_sound_process()
    {
        EXPECT_EQ(fleet.routers.at(1)->exit_code(), -1);
        const auto peak = fleet.routers.at(1)->peak_memory();
        EXPECT_LT(peak, max_memory);
        EXPECT_GT(peak, 0U);
        EXPECT_LE(most_descriptors, max_descriptors);
        RecordProperty("peak_memory_kb", std::to_string(peak / 1'000));
        RecordProperty("most_descriptors", std::to_string(most_descriptors));
    }

    void expect_withstood(caller_script script, int callers)
    {
        caller_crowd crowd{fleet.loop, fleet.frontend_endpoint(1), std::move(script), callers};
        run(crowd);
        expect_ordinary_request_answered();
        expect_sound_process();
    }

    std::size_t max_descriptors;
    std::size_t most_descriptors = 0;
    serve_fleet fleet;
};

/// Bodies that stop one byte short of their end together exceed the bound.
constexpr int bodies = 24;
static_assert(std::size_t{bodies} * body_limit > max_memory);

TEST_F(uncontrolled_callers, many_small_chunks)
{
    constexpr std::size_t payload = 16;
    expect_withstood({chunked_head, chunk(payload), body_limit / payload, "0\r\n\r"}, bodies);
}

TEST_F(uncontrolled_callers, chunks_of_a_megabyte)
{
    constexpr std::size_t payload = 1'048'576;
    expect_withstood({chunked_head, chunk(payload), body_limit / payload, "0\r\n\r"}, bodies);
}

TEST_F(uncontrolled_callers, long_chunk_extensions_and_trailers)
{
    constexpr std::size_t payload = 4'096;
    std::string trailers = "0\r\n";
    while (trailers.size() < 60'000) {
        trailers += "X-Trailer: value\r\n";
    }
    expect_withstood({chunked_head, chunk(payload, ";name=" + std::string(payload, 'e')),
                      body_limit / payload, trailers},
                     bodies);
}

TEST_F(uncontrolled_callers, announced_bodies_that_stop_one_byte_short)
{
    constexpr std::size_t piece = 4'095;
    expect_withstood({announced_head(body_limit), std::string(piece, 'x'), body_limit / piece, {}},
                     bodies);
}

TEST_F(uncontrolled_callers, bodies_announced_far_over_the_limit)
{
    constexpr std::size_t piece = 65'536;
    expect_withstood({announced_head(1'000'000'000), std::string(piece, 'x'), 256, {}}, bodies);
}

TEST_F(uncontrolled_callers, bodies_sent_far_over_the_limit)
{
    expect_withstood({chunked_head, chunk(65'536), 256, {}}, bodies);
}

TEST_F(uncontrolled_callers, requests_sent_in_one_write_by_the_hundred)
{
    constexpr int callers = 600;
    constexpr int requests = 800;
    for (const auto& it : fleet.replicas) {
        it->set_fault(fault::hang);
    }
    caller_crowd crowd{fleet.loop,
                       fleet.frontend_endpoint(1),
                       {{}, request_line("/safe/x") + "Content-Length: 0\r\n\r\n", requests, {}},
                       callers};
    run(crowd);
    crowd.leave();
    for (const auto& it : fleet.replicas) {
        it->set_fault(fault::none);
    }
    run_and_watch(seconds{2});
    expect_ordinary_request_answered();
    expect_sound_process();
}

TEST_F(uncontrolled_callers, answers_that_are_never_read)
{
    constexpr int callers = 300;
    endless_replica endless{"HTTP/1.1 200 OK\r\nEndivelatch-Attempt-Id: ID\r\n"
                            "Endivelatch-Response-Signature: signed\r\n\r\n",
                            "x"};
    const auto register_all = [&](const std::string& address, int born) {
        for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
            auto registration = fleet.registration(n);
            registration["Slots"] = callers;
            registration["born"] = registration["born"].get<std::uint64_t>() + born;
            if (!address.empty()) {
                registration["Address"] = address;
            }
            fleet.store.put("servers", fleet.replicas[n]->id(), registration);
        }
        run_for(fleet.loop, milliseconds{300});
    };
    register_all("127.0.0.1:" + std::to_string(endless.address().port), 1);
    caller_crowd crowd{fleet.loop,
                       fleet.frontend_endpoint(1),
                       {request_line() + "Content-Length: 0\r\n\r\n", {}, 0, {}, false},
                       callers};
    run(crowd);
    run_and_watch(seconds{2});
    EXPECT_GT(endless.answers, 0);
    register_all({}, 2);
    expect_ordinary_request_answered();
    expect_sound_process();
}

// 200 bodies at once beside ordinary requests.
TEST_F(uncontrolled_callers, whole_bodies_at_the_limit)
{
    constexpr int callers = 200;
    constexpr std::size_t piece = 65'536;
    caller_crowd announced{
        fleet.loop,
        fleet.frontend_endpoint(1),
        {announced_head(body_limit), std::string(piece, 'x'), body_limit / piece, {}},
        callers / 2};
    caller_crowd chunked{fleet.loop,
                         fleet.frontend_endpoint(1),
                         {chunked_head, chunk(piece), body_limit / piece, "0\r\n\r\n"},
                         callers / 2};
    for (int n = 0; n < 20; ++n) {
        fleet.send(1, "/safe/x", "beside-" + std::to_string(n));
        run_and_watch(milliseconds{50});
    }
    run(announced);
    run(chunked);
    expect_ordinary_request_answered();
    expect_sound_process();
    EXPECT_GT(announced.answered(200) + chunked.answered(200), 0);
}

/// A router with few descriptors.
struct uncontrolled_connections : uncontrolled_callers {
    uncontrolled_connections() : uncontrolled_callers{few_descriptors} {}
};

/// Connections that exceed the descriptors left for sockets.
constexpr int connections = 500;
static_assert(connections > few_descriptors - descriptors_for_files);

TEST_F(uncontrolled_connections, connections_that_say_nothing)
{
    expect_withstood({}, connections);
}

TEST_F(uncontrolled_connections, heads_that_come_a_byte_at_a_time)
{
    expect_withstood({request_line() + "X-Long: ", "x", 3'000, {}}, connections);
}

TEST_F(uncontrolled_connections, bodies_of_which_one_byte_comes)
{
    expect_withstood({announced_head(100) + "x", {}, 0, {}}, connections);
}

TEST_F(uncontrolled_connections, connections_to_the_other_addresses)
{
    for (const auto& to : {fleet.metrics_endpoint(1), fleet.directory_endpoint(1),
                           fleet.readiness_endpoint(1), fleet.peer_endpoint(1)}) {
        const caller_crowd silent{fleet.loop, to, {}, connections / 4};
        const caller_crowd talking{fleet.loop,
                                   to,
                                   {announced_head(body_limit), std::string(4'096, 'x'), 512, {}},
                                   connections / 4};
        run(silent);
        run(talking);
        EXPECT_EQ(fleet.readiness(1), 200);
    }
    expect_ordinary_request_answered();
    expect_sound_process();
}

} // namespace
} // namespace endivelatch::serve

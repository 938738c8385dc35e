#include "serve_fleet.hpp"

#include "net/loopback.hpp"
#include "net/raw_target.hpp"

#include <string>

#include <gtest/gtest.h>

/// Replicas in trouble whose answers must not reach callers. Sound replicas and the store are
/// stand-ins; the router is a process.
namespace endivelatch::serve {
namespace {

const std::string signature = "Endivelatch-Attempt-Id: {id}\r\n"
                              "Endivelatch-Response-Signature: signed\r\n";

struct broken_answer {
    std::string name;
    std::string answer;
    raw_ending ending = raw_ending::stays_open;
};

struct router_with_broken_replica : testing::TestWithParam<broken_answer> {
    /// Puts the replica in trouble in the place of a sound one.
    void replace_replica(std::size_t n, const raw_target& target)
    {
        auto registration = fleet.registration(n);
        registration["Address"] = "127.0.0.1:" + std::to_string(target.address().port);
        registration["born"] = registration["born"].get<std::uint64_t>() + 1;
        fleet.store.put("servers", fleet.replicas[n]->id(), registration);
    }

    void replace_all(const raw_target& target)
    {
        for (std::size_t n = 0; n < fleet.replicas.size(); ++n) {
            replace_replica(n, target);
        }
        run_for(fleet.loop, std::chrono::milliseconds{300});
    }

    serve_fleet fleet{1, serve_fleet::network_path::direct, {.body_bytes = 16'000'000}};
};

TEST_P(router_with_broken_replica, gives_callers_an_error_in_its_place)
{
    raw_target target{GetParam().answer, GetParam().ending};
    replace_all(target);
    for (const auto* path : {"/unsafe/x", "/safe/x", "/once/stream/x", "/again/stream/x"}) {
        const auto response = fleet.send_and_wait(1, path, "a1");
        EXPECT_EQ(response.status, 502) << path;
        EXPECT_EQ(response.body, "") << path;
    }
    EXPECT_GT(target.answers, 0);
}

TEST_P(router_with_broken_replica, gives_callers_the_answer_of_another_replica)
{
    raw_target target{GetParam().answer, GetParam().ending};
    replace_replica(0, target);
    run_for(fleet.loop, std::chrono::milliseconds{300});
    for (int n = 0; n < 6; ++n) {
        const auto response = fleet.send_and_wait(1, "/safe/x", "a" + std::to_string(n));
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "POST /safe/x body");
    }
}

INSTANTIATE_TEST_SUITE_P(
    all, router_with_broken_replica,
    testing::Values(
        broken_answer{"status_000",
                      "HTTP/1.1 000 X\r\n" + signature + "Content-Length: 2\r\n\r\nok"},
        broken_answer{"status_000_without_length",
                      "HTTP/1.1 000 X\r\n" + signature + "\r\nid: 1\ndata: x\n\n",
                      raw_ending::closes},
        broken_answer{"status_999",
                      "HTTP/1.1 999 X\r\n" + signature + "Content-Length: 2\r\n\r\nok"},
        broken_answer{"blank_in_a_name", "HTTP/1.1 200 OK\r\n" + signature +
                                             "X Y: z\r\nContent-Length: 15\r\n\r\n"
                                             "id: 1\ndata: x\n\n"},
        broken_answer{"control_byte_in_a_name", "HTTP/1.1 200 OK\r\n" + signature +
                                                    "X\x01Y: z\r\nContent-Length: 15\r\n\r\n"
                                                    "id: 1\ndata: x\n\n"},
        broken_answer{"folded_line", "HTTP/1.1 200 OK\r\n" + signature +
                                         " X: z\r\nContent-Length: 15\r\n\r\n"
                                         "id: 1\ndata: x\n\n"},
        broken_answer{"blank_after_content_length",
                      "HTTP/1.1 200 OK\r\n" + signature +
                          "Content-Length : 15\r\n\r\n"
                          "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
                      raw_ending::closes},
        broken_answer{"blank_after_transfer_encoding",
                      "HTTP/1.1 200 OK\r\n" + signature +
                          "Transfer-Encoding : chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n",
                      raw_ending::closes},
        broken_answer{"unknown_transfer_coding",
                      "HTTP/1.1 200 OK\r\n" + signature +
                          "Transfer-Encoding: gzip\r\n\r\nid: 1\ndata: x\n\n",
                      raw_ending::closes}),
    [](const auto& test) { return test.param.name; });

// A replica answered a long upload at once without a length and reset the connection after a part
// of its body, which the caller got as a complete answer.
struct router_with_resetting_replica : router_with_broken_replica {
    /// Sends a long upload and waits for the end of the response.
    const client_response& upload(const std::string& path)
    {
        const std::string body(8'000'000, 'x');
        outgoing_request request;
        request.to = fleet.frontend_endpoint(1);
        request.bytes = "POST " + path +
                        " HTTP/1.1\r\nHost: host.example\r\nEndivelatch-Attempt-Id: a1\r\n"
                        "Endivelatch-Deadline-Ms: 5000\r\nAuthorization: Token key\r\n"
                        "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
        return fleet.wait_for_response(fleet.client_connections.send(std::move(request)));
    }
};

TEST_P(router_with_resetting_replica, gives_callers_no_part_as_a_complete_answer)
{
    raw_target target{GetParam().answer, GetParam().ending};
    replace_all(target);
    for (const auto* path : {"/unsafe/x", "/safe/x", "/once/stream/x", "/again/stream/x"}) {
        const auto& response = upload(path);
        EXPECT_FALSE(response.is_complete && response.status == 200) << path;
    }
    EXPECT_GT(target.answers, 0);
}

INSTANTIATE_TEST_SUITE_P(
    all, router_with_resetting_replica,
    testing::Values(broken_answer{"resets",
                                  "HTTP/1.1 200 OK\r\n" + signature + "\r\nid: 1\ndata: x\n\n",
                                  raw_ending::resets},
                    broken_answer{"ends_then_resets",
                                  "HTTP/1.1 200 OK\r\n" + signature + "\r\nid: 1\ndata: x\n\n",
                                  raw_ending::ends_then_resets}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace endivelatch::serve

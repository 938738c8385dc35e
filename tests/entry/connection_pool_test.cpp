#include "endivelatch/entry/connection_pool.hpp"

#include "net/loopback.hpp"
#include "scripted_target.hpp"

#include <map>
#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace endivelatch {
namespace {

constexpr std::string_view whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// What became of one request.
struct outcome {
    int heads = 0;
    int status = 0;
    std::string body;
    bool is_complete = false;
    std::optional<attempt_stage> broken;
};

/// A pool that remembers what it reports.
struct pool_fixture : testing::Test {
    outgoing_id send(const endpoint& to, bool is_idempotent, const std::string& method = "POST",
                     const std::string& body = "body")
    {
        outgoing_request request;
        request.to = to;
        request.is_idempotent = is_idempotent;
        request.is_head = method == "HEAD";
        request.bytes =
            method + " /p HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body;
        return pool.send(std::move(request));
    }

    /// Sends a request and waits for its end.
    const outcome& exchange(const endpoint& to, bool is_idempotent = true,
                            const std::string& method = "POST", const std::string& body = "body")
    {
        const auto id = send(to, is_idempotent, method, body);
        run_until(loop, [&] { return outcomes[id].is_complete || outcomes[id].broken; });
        return outcomes[id];
    }

    event_loop loop;
    std::map<outgoing_id, outcome> outcomes;
    connection_pool pool{
        loop,
        {[this](outgoing_id id, response_head&& head) {
             ++outcomes[id].heads;
             outcomes[id].status = head.status;
             if (head.status == 299) {
                 pool.skip_answer(id);
             }
         },
         [this](outgoing_id id, std::string_view bytes) { outcomes[id].body += bytes; },
         [this](outgoing_id id) { outcomes[id].is_complete = true; },
         [this](outgoing_id id, attempt_stage stage, const std::string&) {
             outcomes[id].broken = stage;
         }}};
};

TEST_F(pool_fixture, keeps_connections_for_further_requests)
{
    scripted_target target{loop, [](int, const request_head&) {
                               return scripted_target::reaction{std::string{whole_answer}};
                           }};
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(exchange(target.address(), i % 2 == 0).body, "ok");
    }
    EXPECT_EQ(target.connections, 1);
}

// A library that repeats requests on its own would let an unsafe request run twice.
TEST_F(pool_fixture, never_repeats_a_request_on_a_connection_that_is_closed_under_it)
{
    for (const std::string body : {"", "body"}) {
        for (const bool closes_after_head : {false, true}) {
            scripted_target target{
                loop, [](int n, const request_head&) {
                    return n == 1 ? scripted_target::reaction{std::string{whole_answer}}
                                  : scripted_target::reaction{"", true};
                }};
            EXPECT_TRUE(exchange(target.address(), false, "POST", body).is_complete);
            target.closes_after_head = closes_after_head;
            EXPECT_EQ(exchange(target.address(), false, "POST", body).broken, attempt_stage::sent);
            run_for(loop, std::chrono::milliseconds{100});
            EXPECT_EQ(target.requests, 2);
            EXPECT_EQ(target.connections, 1);
        }
    }
}

TEST_F(pool_fixture, bytes_after_an_answer_end_the_connection)
{
    scripted_target target{loop, [](int, const request_head&) {
                               return scripted_target::reaction{
                                   std::string{whole_answer} +
                                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"};
                           }};
    EXPECT_EQ(exchange(target.address()).body, "ok");
    EXPECT_EQ(exchange(target.address()).body, "ok");
    EXPECT_EQ(target.connections, 2);
}

TEST_F(pool_fixture, a_skipped_answer_is_followed_by_the_right_one)
{
    scripted_target target{loop, [](int, const request_head&) {
                               return scripted_target::reaction{
                                   "HTTP/1.1 299 Late\r\nContent-Length: 4\r\n\r\nlate" +
                                   std::string{whole_answer}};
                           }};
    const auto& end = exchange(target.address());
    EXPECT_EQ(end.heads, 2);
    EXPECT_EQ(end.status, 200);
    EXPECT_EQ(end.body, "ok");
    exchange(target.address());
    EXPECT_EQ(target.connections, 2); // The connection had gone astray.
}

TEST_F(pool_fixture, tells_how_far_a_broken_attempt_had_come)
{
    scripted_target silent{loop, [](int, const request_head&) {
                               return scripted_target::reaction{"", true};
                           }};
    EXPECT_EQ(exchange(silent.address()).broken, attempt_stage::sent);
    scripted_target garbage{loop, [](int, const request_head&) {
                                return scripted_target::reaction{"\x01\x02\r\n\r\n"};
                            }};
    EXPECT_EQ(exchange(garbage.address()).broken, attempt_stage::answering);
    endpoint closed;
    {
        scripted_target gone{loop, {}};
        closed = gone.address();
    }
    EXPECT_EQ(exchange(closed).broken, attempt_stage::not_sent);
}

TEST_F(pool_fixture, cancelling_closes_the_connection)
{
    scripted_target target{loop, [](int, const request_head&) {
                               return scripted_target::reaction{"HTTP/1.1 200 OK\r\n"};
                           }};
    const auto id = send(target.address(), true);
    run_until(loop, [&] { return target.requests == 1; });
    pool.cancel(id);
    run_until(loop, [&] { return target.closed_by_peer == 1; });
    EXPECT_FALSE(outcomes[id].is_complete);
    EXPECT_FALSE(outcomes[id].broken);
}

TEST_F(pool_fixture, an_answer_before_the_whole_request_ends_the_connection)
{
    // More than the sockets' buffers hold, so that a part is unsent when the answer comes.
    std::string body;
    body.resize(16'000'000, 'x');
    std::unique_ptr<tcp_stream> accepted;
    tcp_listener early{loop, [&](int fd) {
                           accepted = std::make_unique<tcp_stream>(
                               loop, fd, tcp_stream_callbacks{{}, [](std::string_view) {}, {}, {}});
                           accepted->pause_reading(true);
                           accepted->out() = whole_answer;
                           accepted->flush_soon();
                       }};
    early.start({"127.0.0.1", 0});
    EXPECT_TRUE(exchange(early.listening(), true, "POST", body).is_complete);
    EXPECT_EQ(pool.connections(), 0U);
}

} // namespace
} // namespace endivelatch

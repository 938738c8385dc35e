#include "loopback.hpp"

namespace endivelatch {
namespace {

/// A client and a server whose response depends on the path.
class http : public ::testing::Test {
protected:
    void SetUp() override { ASSERT_TRUE(server.start().empty()); }

    void respond_to(http_request&& request)
    {
        last_request = request;
        if (request.path == "/echo") {
            server.respond(request.id, 200, {{"x-method", request.method}}, request.body);
            return;
        }
        if (request.path == "/later") {
            loop.post([this, id = request.id] { server.respond(id, 202, {}, "late"); });
            return;
        }
        last_exchange = request.id;
        if (request.path == "/stream") {
            server.begin_stream(request.id, 200, {{"content-type", "text/event-stream"}});
        }
    }

    call_id get(const std::string& path)
    {
        http_call call;
        call.url = url_of(server, path);
        return calls.client.start(std::move(call));
    }

    event_loop loop;
    std::vector<exchange_id> closed;
    http_request last_request;
    exchange_id last_exchange;
    recording_client calls{loop};
    http_server server{loop,
                       loopback_settings(),
                       {[this](http_request&& it) { respond_to(std::move(it)); },
                        [this](exchange_id id) { closed.push_back(id); },
                        {}}};
};

TEST_F(http, carries_method_headers_query_and_body)
{
    http_call call;
    call.method = "PUT";
    call.url = url_of(server, "/echo?name=a%20b&flag");
    call.headers = {{"If-Match", "\"7\""}};
    call.body = make_payload(std::string(100'000, 'x'));
    const call_id id = calls.client.start(std::move(call));
    run_until(loop, [&] { return calls.is_done(id); });
    const auto& response = calls.responses[id];
    EXPECT_TRUE(response.is_finished());
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, std::string(100'000, 'x'));
    EXPECT_EQ(*find_header(response.headers, "x-method"), "PUT");
    EXPECT_EQ(*find_header(last_request.headers, "if-match"), "\"7\"");
    EXPECT_EQ(*find_header(last_request.query, "name"), "a b");
    EXPECT_EQ(last_request.remote, "127.0.0.1");
}

TEST_F(http, sends_deferred_responses)
{
    const call_id id = get("/later");
    run_until(loop, [&] { return calls.is_done(id); });
    EXPECT_EQ(calls.responses[id].status, 202);
    EXPECT_EQ(calls.responses[id].body, "late");
    run_until(loop, [&] { return server.active() == 0; });
}

TEST_F(http, streams_parts_until_finished)
{
    const call_id id = get("/stream");
    run_until(loop, [&] { return calls.responses[id].status == 200; });
    for (int i = 0; i < 100; ++i) {
        const std::string part = std::to_string(i) + ";";
        const auto size = calls.responses[id].body.size() + part.size();
        server.write(last_exchange, make_payload(part));
        run_until(loop, [&] { return calls.responses[id].body.size() == size; });
    }
    server.finish(last_exchange);
    run_until(loop, [&] { return calls.is_done(id); });
    EXPECT_TRUE(calls.responses[id].is_finished());
    EXPECT_TRUE(closed.empty());
}

TEST_F(http, an_aborted_stream_does_not_look_complete)
{
    const call_id id = get("/stream");
    run_until(loop, [&] { return calls.responses[id].status == 200; });
    server.write(last_exchange, make_payload("part"));
    run_until(loop, [&] { return calls.responses[id].body == "part"; });
    server.abort(last_exchange);
    run_until(loop, [&] { return calls.is_done(id); });
    ASSERT_FALSE(calls.responses[id].is_finished());
    EXPECT_TRUE(calls.responses[id].failure().request_bytes_sent);
}

TEST_F(http, reports_a_client_that_disconnects_while_suspended)
{
    const call_id waiting = get("/never");
    run_until(loop, [&] { return last_exchange.value() != 0; });
    const exchange_id first = last_exchange;
    const call_id streaming = get("/stream");
    run_until(loop, [&] { return calls.responses[streaming].status == 200; });
    calls.client.cancel(waiting);
    calls.client.cancel(streaming);
    run_until(loop, [&] { return closed.size() == 2; });
    EXPECT_EQ(closed, (std::vector<exchange_id>{first, last_exchange}));
    EXPECT_EQ(server.active(), 0U);
    run_until(loop, [&] { return server.connections() == 0; });
}

TEST_F(http, reports_that_nothing_was_sent_to_a_closed_port)
{
    const std::string url = url_of(server, "/echo");
    server.stop_listening();
    http_call call;
    call.url = url;
    const call_id id = calls.client.start(std::move(call));
    run_until(loop, [&] { return calls.is_done(id); });
    EXPECT_EQ(calls.responses[id].failure().kind, call_failure_kind::not_reached);
    EXPECT_FALSE(calls.responses[id].failure().request_bytes_sent);
}

TEST_F(http, fails_a_call_after_the_idle_timeout)
{
    http_call call;
    call.url = url_of(server, "/never");
    call.idle_timeout = std::chrono::milliseconds{200};
    const call_id id = calls.client.start(std::move(call));
    run_until(loop, [&] { return calls.is_done(id); });
    EXPECT_EQ(calls.responses[id].failure().kind, call_failure_kind::silent);
    EXPECT_TRUE(calls.responses[id].failure().request_bytes_sent);
    run_until(loop, [&] { return closed.size() == 1; });
}

TEST_F(http, refuses_calls_above_the_host_limit)
{
    std::vector<call_id> ids;
    for (int i = 0; i < 3; ++i) {
        http_call call;
        call.url = url_of(server, "/later");
        call.max_concurrent = 2;
        ids.push_back(calls.client.start(std::move(call)));
    }
    run_until(loop, [&] { return calls.client.active() == 0; });
    EXPECT_TRUE(calls.responses[ids[0]].is_finished());
    EXPECT_TRUE(calls.responses[ids[1]].is_finished());
    EXPECT_EQ(calls.responses[ids[2]].failure().kind, call_failure_kind::refused);
    EXPECT_FALSE(calls.responses[ids[2]].failure().request_bytes_sent);
}

} // namespace
} // namespace endivelatch

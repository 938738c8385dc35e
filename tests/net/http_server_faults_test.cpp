#include "loopback.hpp"

#include "endivelatch/net/tcp_stream.hpp"

#include <memory>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch {
namespace {

/// A client that sends raw bytes.
class raw_client {
public:
    raw_client(event_loop& loop, const endpoint& to)
        : stream{loop,
                 to,
                 {{},
                  [this](std::string_view bytes) { received += bytes; },
                  {},
                  [this](const std::string&) { is_closed = true; }}}
    {
    }

    void send(std::string_view bytes)
    {
        stream.out() += bytes;
        stream.flush_soon();
    }

    /// Returns the status of the response; zero before it is received.
    int status() const { return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3)); }

    std::string received;
    bool is_closed = false;
    tcp_stream stream;
};

/// A server that responds to every path but `/hold` with 200.
class http_server_faults : public ::testing::Test {
protected:
    void start(http_server_settings settings)
    {
        settings.listen = {{"127.0.0.1", 0}};
        server.emplace(
            loop, settings,
            http_server_callbacks{[this](http_request&& it) {
                                      ++request_count;
                                      last_id = it.id;
                                      if (it.path != "/hold") {
                                          server->respond(it.id, 200, {}, "ok");
                                      }
                                  },
                                  [this](exchange_id) { ++closed_count; },
                                  [this](exchange_id, std::size_t) { ++drained_count; }});
        ASSERT_TRUE(server->start().empty());
    }

    std::unique_ptr<raw_client> call(std::string_view bytes)
    {
        auto it = std::make_unique<raw_client>(loop, server->listening().front());
        it->send(bytes);
        return it;
    }

    event_loop loop;
    int request_count = 0;
    int closed_count = 0;
    int drained_count = 0;
    exchange_id last_id;
    std::optional<http_server> server;
};

TEST_F(http_server_faults, reject_content_length_above_the_limit)
{
    http_server_settings settings;
    settings.max_body = 1'000;
    start(settings);
    const auto it = call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    run_until(loop, [&] { return it->status() != 0; });
    EXPECT_EQ(it->status(), 413);
    EXPECT_EQ(request_count, 0);
}

TEST_F(http_server_faults, reject_a_chunked_body_above_the_limit)
{
    http_server_settings settings;
    settings.max_body = 1'000;
    start(settings);
    const auto it = call("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 3; ++i) {
        it->send("1f4\r\n" + std::string(500, 'x') + "\r\n");
    }
    it->send("0\r\n\r\n");
    run_until(loop, [&] { return it->status() != 0; });
    EXPECT_EQ(it->status(), 413);
    EXPECT_EQ(request_count, 0);
}

TEST_F(http_server_faults, reject_headers_above_the_limit)
{
    start({});
    const auto it =
        call("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(40'000, 'x') + "\r\n\r\n");
    run_until(loop, [&] { return it->status() != 0 || it->is_closed; });
    EXPECT_TRUE(it->status() == 431 || it->status() == 413) << it->received;
    EXPECT_EQ(request_count, 0);
}

TEST_F(http_server_faults, reject_malformed_requests)
{
    start({});
    const std::string_view malformed[] = {
        "\r\n\r\n\x01\x02\x03garbage\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: many\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    };
    for (const auto bytes : malformed) {
        const auto it = call(bytes);
        run_until(loop, [&] { return it->is_closed; });
        EXPECT_TRUE(it->status() == 0 || it->status() >= 400) << bytes << it->received;
    }
    EXPECT_EQ(request_count, 0);
    const auto good = call("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return good->status() == 200; });
}

TEST_F(http_server_faults, close_connections_without_a_complete_request_in_time)
{
    http_server_settings settings;
    settings.request_timeout = std::chrono::milliseconds{300};
    start(settings);
    const auto idle = call("");
    const auto slow = call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx");
    const auto held = call("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    timer feed{loop, [&] {
                   slow->send("x");
                   feed.start(std::chrono::milliseconds{50});
               }};
    feed.start(std::chrono::milliseconds{50});
    run_until(loop, [&] { return idle->is_closed && slow->is_closed; });
    feed.stop();
    EXPECT_FALSE(held->is_closed);
    EXPECT_EQ(request_count, 1);
    server->respond(last_id, 200, {}, "late");
    run_until(loop, [&] { return held->status() == 200; });
}

TEST_F(http_server_faults, half_closed_client_is_treated_as_disconnected)
{
    start({});
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server->listening().front().port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    const std::string_view request = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    ASSERT_EQ(send(fd, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    run_until(loop, [&] { return request_count == 1; });
    shutdown(fd, SHUT_WR);
    run_until(loop, [&] { return closed_count == 1; });
    EXPECT_EQ(server->active(), 0U);
    run_until(loop, [&] { return server->connections() == 0; });
    close(fd);
}

TEST_F(http_server_faults, pipelined_requests_are_answered_in_order)
{
    start({});
    const auto it = call("GET /hold HTTP/1.1\r\nHost: a\r\n\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return request_count == 1; });
    server->respond(last_id, 200, {}, "first");
    run_until(loop, [&] { return it->received.ends_with("ok"); });
    EXPECT_LT(it->received.find("first"), it->received.rfind("ok"));
    EXPECT_EQ(closed_count, 0);
}

TEST_F(http_server_faults, address_can_be_bound_again_at_once_after_a_restart)
{
    start({});
    const auto it = call("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    run_until(loop, [&] { return it->is_closed; });
    http_server_settings settings;
    settings.listen = server->listening();
    server.reset();
    http_server restarted{loop, settings, {}};
    EXPECT_TRUE(restarted.start().empty());
    http_server second{loop, settings, {}};
    EXPECT_EQ(second.start().size(), 1U);
}

TEST_F(http_server_faults, calls_for_ended_exchanges_have_no_effect)
{
    start({});
    const auto it = call("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
    run_until(loop, [&] { return request_count == 1; });
    server->respond(last_id, 200, {}, "one");
    server->respond(last_id, 500, {}, "two");
    server->write(last_id, make_payload("three"));
    server->finish(last_id);
    run_until(loop, [&] { return it->received.ends_with("one"); });
    server->respond(last_id, 500, {}, "four");
    server->abort(last_id);
    run_for(loop, std::chrono::milliseconds{20});
    EXPECT_TRUE(it->received.ends_with("one"));
}

} // namespace
} // namespace endivelatch

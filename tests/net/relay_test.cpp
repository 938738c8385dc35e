#include "loopback.hpp"

#include "endivelatch/net/tcp_stream.hpp"

#include <list>
#include <memory>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endivelatch {
namespace {

/// Bytes per part of the endless response.
constexpr std::size_t part_size = 16'384;

/// Unsent bytes above which the response is paused.
constexpr std::size_t pause_threshold = 131'072;

/// Upper bound of the bytes in the socket buffers of both hops.
constexpr std::size_t kernel_buffers = 24'000'000;

/// Whether the relay pauses reading while its output is not drained.
enum class backpressure { applied, ignored };

/// A relay between an endless source and a client that does not read.
struct stalled_relay {
    explicit stalled_relay(backpressure initial_mode)
        : mode{initial_mode}, source{loop,
                                     loopback_settings(),
                                     {[this](http_request&& it) {
                                          stream = it.id;
                                          source.begin_stream(it.id, 200, {});
                                          feed();
                                      },
                                      {},
                                      [this](exchange_id, std::size_t) { feed(); }}},
          client{
              loop,
              {[this](call_id, int, const http_headers&) { relay.begin_stream(caller, 200, {}); },
               [this](call_id id, std::string_view bytes) { forward(id, bytes); },
               {}}},
          relay{loop,
                loopback_settings(),
                {[this](http_request&& it) {
                     caller = it.id;
                     http_call call;
                     call.url = url_of(source, "/");
                     upstream = client.start(std::move(call));
                 },
                 [this](exchange_id) { client.cancel(upstream); },
                 [this](exchange_id, std::size_t) { client.resume(upstream); }}}
    {
        EXPECT_TRUE(source.start().empty());
        EXPECT_TRUE(relay.start().empty());
    }

    /// Keeps the output buffer of the source filled above the threshold.
    void feed()
    {
        loop.post([this] {
            while (source.buffered(stream) <= pause_threshold && sent < limit) {
                source.write(stream, make_payload(std::string(part_size, 'x')));
                sent += part_size;
            }
        });
    }

    void forward(call_id id, std::string_view bytes)
    {
        relay.write(caller, make_payload(std::string{bytes}));
        max_buffered = std::max(max_buffered, relay.buffered(caller));
        if (mode == backpressure::applied && relay.buffered(caller) > pause_threshold) {
            client.pause(id);
        }
    }

    /// Connects a client that reads nothing, and runs until the source makes no progress.
    void run_stalled()
    {
        fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(relay.listening().front().port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
        const std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        ASSERT_GT(::send(fd, request.data(), request.size(), 0), 0);
        std::size_t before = 0;
        do {
            before = sent;
            run_for(loop, std::chrono::milliseconds{300});
        } while (sent != before || sent == 0);
    }

    backpressure mode;
    std::size_t limit = 100'000'000; ///< Bytes after which the source stops without backpressure.
    std::size_t sent = 0;
    std::size_t max_buffered = 0;
    int fd = -1;
    exchange_id stream;
    exchange_id caller;
    call_id upstream;
    event_loop loop;
    http_server source;
    http_client client;
    http_server relay;
};

TEST(relay, a_client_that_does_not_read_stops_the_source)
{
    stalled_relay it{backpressure::applied};
    it.run_stalled();
    EXPECT_LT(it.max_buffered, 2 * pause_threshold);
    EXPECT_LT(it.sent, kernel_buffers);
    close(it.fd);
    run_until(it.loop, [&] { return it.client.active() == 0 && it.source.active() == 0; });
}

TEST(relay, without_backpressure_the_buffer_grows)
{
    stalled_relay it{backpressure::ignored};
    it.run_stalled();
    EXPECT_GT(it.max_buffered, 2 * pause_threshold);
    EXPECT_EQ(it.sent / part_size, it.limit / part_size + 1);
    close(it.fd);
}

/// A server that closes the connection on the second request, without a response.
struct closing_server {
    explicit closing_server(event_loop& loop)
        : listener{loop, [this, &loop](int fd) {
                       auto& it = streams.emplace_back();
                       it = std::make_unique<tcp_stream>(
                           loop, fd,
                           tcp_stream_callbacks{
                               {}, [this, &it](std::string_view) { respond_to(*it); }, {}, {}});
                   }}
    {
        EXPECT_TRUE(listener.start({"127.0.0.1", 0}).empty());
    }

    void respond_to(tcp_stream& stream)
    {
        if (++requests == 2) {
            stream.close();
            return;
        }
        stream.out() += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        stream.flush_soon();
    }

    int requests = 0;
    std::list<std::unique_ptr<tcp_stream>> streams;
    tcp_listener listener;
};

/// Makes two calls to a closing_server; returns the number of requests that it received.
int count_requests_received(bool may_repeat, call_end& second_result)
{
    event_loop loop;
    closing_server server{loop};
    recording_client calls{loop};
    for (int i = 0; i < 2; ++i) {
        http_call call;
        call.method = "POST";
        call.url = "http://127.0.0.1:" + std::to_string(server.listener.listening().port) + "/";
        call.body = make_payload("book");
        call.may_repeat = may_repeat;
        const call_id id = calls.client.start(std::move(call));
        run_until(loop, [&] { return calls.is_done(id); });
        second_result = *calls.responses[id].end;
    }
    return server.requests;
}

TEST(http_client, never_sends_a_request_twice_unless_it_may_be_repeated)
{
    call_end end;
    EXPECT_EQ(count_requests_received(false, end), 2);
    ASSERT_TRUE(std::holds_alternative<call_failure>(end));
    EXPECT_TRUE(std::get<call_failure>(end).request_bytes_sent);
    // libcurl resends the request when the reused connection is closed.
    EXPECT_EQ(count_requests_received(true, end), 3);
}

} // namespace
} // namespace endivelatch

#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/base/strong_id.hpp"
#include "endivelatch/http1/http_header.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

/// The HTTP server for callers and operators, on the event loop.
namespace endivelatch {

/// One request with its answer, unique within one server.
using exchange_id = number_id<struct exchange_id_tag>;

/// A request whose body has been received whole.
struct http_request {
    exchange_id id;
    std::string method;
    std::string path;   ///< Without query, percent-decoded.
    http_headers query; ///< Parameters of the URL, percent-decoded.
    http_headers headers;
    std::string body;
    std::string remote; ///< The caller's IP address.
};

/// What a server reports. All members may be empty.
struct http_server_callbacks {
    /// A whole request has arrived; answer it now or later.
    std::function<void(http_request&&)> on_request;
    /// The caller hung up before it had the whole answer; the identifier is void from now on.
    std::function<void(exchange_id)> on_closed;
    /// The unsent bytes of a stream (second argument) fell below the drain threshold again.
    std::function<void(exchange_id, std::size_t)> on_drained;
};

/// Limits of a server.
struct http_server_settings {
    std::vector<endpoint> listen;           ///< Port zero takes any free port.
    std::size_t max_body = 4'194'304;       ///< Bytes; larger bodies are answered with 413.
    std::size_t connection_memory = 16'384; ///< Bytes; larger header blocks get 431.
    std::size_t stream_block = 8'192;       ///< Largest piece of a stream sent at once, bytes.
    std::uint32_t max_connections = 10'000; ///< Per listening address; more wait to be accepted.
    duration request_timeout{30'000'000};   ///< Longest wait for a whole request.
    std::size_t drain_threshold = 65'536;   ///< Unsent bytes at which `on_drained` is reported.
};

/// Serves HTTP/1.1 with libmicrohttpd; answers may be given later and in parts.
/// A caller that closes its sending side counts as having hung up.
class http_server {
public:
    http_server(event_loop& loop, http_server_settings settings, http_server_callbacks callbacks);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Binds all addresses; returns a finding for each that failed.
    findings start();

    /// Closes the listening sockets; open connections go on.
    void stop_listening();

    /// Returns the addresses listened on, with the ports in use.
    std::vector<endpoint> listening() const;

    /// Answers with a whole body.
    void respond(exchange_id id, int status, const http_headers& headers, std::string body);

    /// Starts an answer whose body follows in parts.
    void begin_stream(exchange_id id, int status, const http_headers& headers);

    /// Appends a part to a stream.
    void write(exchange_id id, payload part);

    /// Ends a stream after what was written.
    void finish(exchange_id id);

    /// Breaks the connection, so that the caller sees the answer as truncated.
    void abort(exchange_id id);

    /// Returns the unsent bytes of a stream; zero when it is unknown.
    std::size_t buffered(exchange_id id) const;

    /// Returns the number of requests that have not been answered whole.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the number of open connections.
    std::size_t connections() const { return connection_count_; }

private:
    struct listener;
    struct connection;
    struct exchange;
    struct hooks; ///< Functions called by libmicrohttpd.

    /// Returns the exchange, or nothing when it has ended.
    exchange* find(exchange_id id) const;
    /// Lets libmicrohttpd go on with a suspended exchange.
    void resume(exchange& it);
    /// Stops an exchange and breaks its connection.
    void break_off(exchange& it);
    /// Runs the listener's daemon later in this iteration.
    void schedule(listener& where);
    /// Runs the listener's daemon now.
    void run(listener& where);
    /// Notes which connections were closed by their callers.
    void check_hang_ups();
    /// Expects a whole request on the connection within the timeout.
    void expect_request(connection& it);
    /// Closes connections that waited too long for a whole request.
    void expire();

    event_loop* loop_;
    http_server_settings settings_;
    http_server_callbacks callbacks_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::unordered_map<exchange_id, exchange*> exchanges_;
    std::uint64_t last_exchange_ = 0;
    std::size_t connection_count_ = 0;
    int hang_up_epoll_ = -1; ///< Reports connections closed by callers, also while suspended.
    std::unique_ptr<class io_watcher> hang_up_watcher_;
    struct waiting_list;
    std::unique_ptr<waiting_list> waiting_; ///< Connections without a whole request, oldest first.
    timer expiry_;
};

} // namespace endivelatch

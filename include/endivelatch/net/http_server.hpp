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

/// HTTP server on the event loop.
namespace endivelatch {

/// Identifies a request and its response; unique within one server.
using exchange_id = number_id<struct exchange_id_tag>;

/// A request with its complete body.
struct http_request {
    exchange_id id;
    std::string method;
    std::string path;   ///< Without the query; percent-decoded.
    http_headers query; ///< Query parameters; percent-decoded.
    http_headers headers;
    std::string body;
    std::string remote; ///< IP address of the client.
};

/// Callbacks of a server. Any of them may be empty.
struct http_server_callbacks {
    /// A complete request was received. The response may be given now or later.
    std::function<void(http_request&&)> on_request;
    /// The client disconnected before the response was complete. The identifier is invalid
    /// afterwards.
    std::function<void(exchange_id)> on_closed;
    /// The number of unsent bytes of a stream (second argument) fell to half of the drain
    /// threshold after having exceeded it.
    std::function<void(exchange_id, std::size_t)> on_drained;
};

/// Listening addresses and limits of a server.
struct http_server_settings {
    std::vector<endpoint> listen;           ///< Port zero selects a free port.
    std::size_t max_body = 4'194'304;       ///< Bytes; larger bodies get a 413 response.
    std::size_t connection_memory = 16'384; ///< Bytes; larger headers get a 431 response.
    std::size_t stream_block = 8'192;       ///< Bytes; largest chunk of a streamed response.
    std::uint32_t max_connections = 10'000; ///< Per listening address; more wait in the backlog.
    duration request_timeout{30'000'000};   ///< Time limit for receiving a request.
    std::size_t drain_threshold = 65'536;   ///< Unsent bytes above which `on_drained` is armed.
};

/// Serves HTTP/1.1 with libmicrohttpd. Responses may be deferred and streamed.
/// A client that closes its sending side is treated as disconnected.
class http_server {
public:
    http_server(event_loop& loop, http_server_settings settings, http_server_callbacks callbacks);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server& operator=(http_server&&) = delete;

    /// Binds all addresses; returns a finding for each failure.
    findings start();

    /// Closes the listening sockets; established connections remain.
    void stop_listening();

    /// Returns the bound addresses with their actual ports.
    std::vector<endpoint> listening() const;

    /// Sends a complete response.
    void respond(exchange_id id, int status, const http_headers& headers, std::string body);

    /// Starts a streamed response whose body follows through `write`.
    void begin_stream(exchange_id id, int status, const http_headers& headers);

    /// Appends a part to a streamed response.
    void write(exchange_id id, payload part);

    /// Completes a streamed response after the parts written so far.
    void finish(exchange_id id);

    /// Aborts the connection, so that the client sees a truncated response.
    void abort(exchange_id id);

    /// Returns the number of unsent bytes of a stream; zero for an unknown identifier.
    std::size_t buffered(exchange_id id) const;

    /// Returns the number of requests whose response is not complete.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the number of open connections.
    std::size_t connections() const { return connection_count_; }

private:
    struct listener;
    struct connection;
    struct exchange;
    struct hooks; ///< Functions called by libmicrohttpd.

    /// Returns the exchange, or null when it has ended.
    exchange* find(exchange_id id) const;
    /// Resumes the connection of a suspended exchange.
    void resume(exchange& it);
    /// Ends an exchange and closes its connection.
    void abort_exchange(exchange& it);
    /// Runs the listener's daemon later in this loop iteration.
    void schedule(listener& acceptor);
    /// Runs the listener's daemon now.
    void run(listener& acceptor);
    /// Handles connections that were closed by their clients.
    void check_hang_ups();
    /// Starts the timeout for receiving a request on the connection.
    void start_request_timeout(connection& it);
    /// Closes connections whose request timeout has expired.
    void close_expired();

    event_loop* loop_;
    http_server_settings settings_;
    http_server_callbacks callbacks_;
    std::vector<std::unique_ptr<listener>> listeners_;
    std::unordered_map<exchange_id, exchange*> exchanges_;
    std::uint64_t last_exchange_ = 0;
    std::size_t connection_count_ = 0;
    int hang_up_epoll_ = -1; ///< Detects closed connections, also while they are suspended.
    std::unique_ptr<class io_watcher> hang_up_watcher_;
    struct incomplete_requests;
    /// Connections without a complete request, by deadline.
    std::unique_ptr<incomplete_requests> incomplete_;
    timer expiry_;
};

} // namespace endivelatch

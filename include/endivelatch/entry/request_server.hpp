#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/net/tcp_stream.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/traffic/request.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace endivelatch {

/// Callbacks of a request server. The first two must be set.
struct request_server_callbacks {
    /// A complete request was received. The answer may be given now or later.
    std::function<void(exchange_number, request_head&&, std::string&& body)> on_request;
    /// The client closed its connection before the answer was complete.
    std::function<void(exchange_number)> on_closed;
    /// All bytes of the answer so far were written to the socket.
    std::function<void(exchange_number)> on_drained;
};

/// Limits on the requests and connections of a request server.
struct request_server_limits {
    request_limits sizes;
    duration request_timeout{3'000'000}; ///< Maximum time to receive a complete request.
    duration idle_timeout{15'000'000};   ///< Maximum time between requests.
};

/// HTTP/1.1 server on one address. Requests are passed on byte for byte; answers may be streamed.
class request_server {
public:
    request_server(event_loop& loop, request_server_callbacks callbacks);
    ~request_server();
    request_server(const request_server&) = delete;
    request_server(request_server&&) = delete;
    request_server& operator=(const request_server&) = delete;
    request_server& operator=(request_server&&) = delete;

    /// Binds the address and starts to listen.
    findings start(const endpoint& address);

    /// Stops listening. Open connections continue.
    void stop_listening();

    /// Closes all idle connections and, from now on, every connection after its next answer, unless
    /// another request was already received on it.
    void close_connections();

    /// Replaces the limits. Size limits take effect with the next request of each connection.
    void set_limits(const request_server_limits& limits);

    /// Starts an answer. Without a length, the body uses the chunked transfer coding.
    void begin(exchange_number id, int status, const http_headers& headers,
               std::optional<std::uint64_t> length);

    /// Sends a part of the body.
    void write(exchange_number id, std::string_view bytes);

    /// Completes the answer.
    void finish(exchange_number id);

    /// Sends a complete answer.
    void respond(exchange_number id, int status, const http_headers& headers,
                 std::string_view body);

    /// Closes the connection of an answer that cannot be completed.
    void abort(exchange_number id);

    /// Returns the number of unsent bytes on the connection of an answer.
    std::size_t unsent_bytes(exchange_number id);

    /// Returns the bound address.
    const endpoint& listening() const { return address_; }

    /// Returns whether bytes of answers were not written yet, or requests were received that are
    /// not passed on yet.
    bool has_unfinished_work() const;

    /// Returns the number of requests without a complete answer.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the number of open connections.
    std::size_t connections() const { return connections_.size(); }

    /// Time without any sign of the peer after which a connection is considered dead.
    static constexpr duration silence_limit{3'000'000};
    /// Bytes of pipelined requests that are buffered while a request is being answered.
    static constexpr std::size_t max_pending_bytes = 65'536;
    /// Interval between checks for expired connections.
    static constexpr duration expiry_interval{500'000};

private:
    struct connection;

    void accept(int fd);
    void on_data(connection& conn, std::string_view bytes);
    void on_written(connection& conn);
    void read_requests(connection& conn);
    void on_closed(connection& conn);
    void reject(connection& conn);
    void drop(connection& conn);
    void close_after_writing(connection& conn);
    void expire();
    connection* find(exchange_number id);

    event_loop* loop_;
    request_server_callbacks callbacks_;
    request_server_limits limits_;
    endpoint address_;
    std::unique_ptr<tcp_listener> listener_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::unordered_map<exchange_number, connection*> exchanges_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_exchange_ = 0;
    bool is_closing_ = false;
    timer expiry_;
};

} // namespace endivelatch

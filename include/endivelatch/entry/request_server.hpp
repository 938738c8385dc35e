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

/// What a request server reports. The first two must be set.
struct request_server_callbacks {
    /// A whole request has arrived; answer it now or later.
    std::function<void(exchange_number, request_head&&, std::string&& body)> on_request;
    /// The caller closed its connection before it had the whole answer.
    std::function<void(exchange_number)> on_closed;
    /// All bytes of the answer so far have been written.
    std::function<void(exchange_number)> on_drained;
};

/// Limits of a request server.
struct request_server_limits {
    request_limits sizes;
    duration head_timeout{3'000'000};  ///< Longest time to receive a whole request.
    duration idle_timeout{15'000'000}; ///< Longest time between requests.
};

/// Serves HTTP/1.1 on one address. Requests keep their bytes; answers may be given in parts.
class request_server {
public:
    request_server(event_loop& loop, request_server_callbacks callbacks);
    ~request_server();
    request_server(const request_server&) = delete;
    request_server(request_server&&) = delete;
    request_server& operator=(const request_server&) = delete;
    request_server& operator=(request_server&&) = delete;

    /// Binds the address.
    findings start(const endpoint& where);

    /// Stops listening; open connections go on.
    void stop_listening();

    /// Closes idle connections and, from now on, each connection after its next answer.
    void close_connections();

    /// Replaces the limits, from each connection's next request on.
    void set_limits(const request_server_limits& limits);

    /// Starts an answer. Without a length the body is sent in chunks.
    void begin(exchange_number id, int status, const http_headers& headers,
               std::optional<std::uint64_t> length);

    /// Sends a part of the body.
    void write(exchange_number id, std::string_view bytes);

    /// Ends the answer.
    void finish(exchange_number id);

    /// Answers with a whole body.
    void respond(exchange_number id, int status, const http_headers& headers,
                 std::string_view body);

    /// Closes the connection of an answer that stays incomplete.
    void abort(exchange_number id);

    /// Returns the unsent bytes of the answer's connection.
    std::size_t unsent(exchange_number id);

    /// Returns the address in use.
    const endpoint& listening() const { return address_; }

    /// Returns the number of requests without a whole answer.
    std::size_t active() const { return exchanges_.size(); }

    /// Returns the number of open connections.
    std::size_t connections() const { return connections_.size(); }

    /// Silence after which a connection counts as dead.
    static constexpr duration silence_limit{3'000'000};
    /// Bytes of further requests held while one is answered.
    static constexpr std::size_t most_pending_bytes = 65'536;
    /// Time between two looks for connections that are idle for too long.
    static constexpr duration expiry_interval{500'000};

private:
    struct connection;

    void accept(int fd);
    void on_data(connection& it, std::string_view bytes);
    void on_written(connection& it);
    void read_requests(connection& it);
    void on_closed(connection& it);
    void reject(connection& it);
    void drop(connection& it);
    void close_after_writing(connection& it);
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

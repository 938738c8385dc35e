#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/entry/connection_limits.hpp"
#include "endivelatch/entry/memory_budget.hpp"
#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/net/tcp_stream.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/traffic/request.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
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
    duration header_timeout{3'000'000}; ///< Maximum time to receive a head, from its first byte.
    duration idle_timeout{15'000'000};  ///< Maximum time between requests.
    std::size_t max_connections = 0;    ///< Zero for no limit.
};

/// Why a request was refused or a connection closed by the server itself.
enum class connection_refusal {
    malformed,      ///< Answered with 400.
    head_too_large, ///< Answered with 431.
    body_too_large, ///< Answered with 413.
    slow_head,      ///< Answered with 408.
    slow_body,      ///< Answered with 408.
    no_memory,      ///< Answered with 503: neither the request nor one that yielded to it has run.
    no_descriptor,  ///< A connection was closed to make room, or not accepted.
    reader_stalled, ///< The caller took nothing of its answer for too long.
};

inline constexpr std::size_t connection_refusals = 8;

/// Returns the name used in logs and metrics, such as `slow_body`.
std::string_view to_string(connection_refusal refusal);

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

    /// Returns the limits.
    const request_server_limits& limits() const { return limits_; }

    /// Counts what requests and answers hold, and refuses what finds no room. The budget must
    /// outlive the server.
    void set_budget(memory_budget& budget, memory_use requests, memory_use answers);

    /// Returns how often something was refused or closed for the reason, since the start.
    std::uint64_t refused(connection_refusal reason) const
    {
        return refused_[static_cast<std::size_t>(reason)];
    }

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
    static constexpr std::size_t max_pending_bytes = 16'384;
    /// Bytes of one read while a request is being answered.
    static constexpr std::size_t pipelined_read_size = 16'384;
    /// Interval between checks for expired connections.
    static constexpr duration expiry_interval{500'000};
    /// Time for which the rest of a refused request is read and discarded. If the connection were
    /// closed before, the caller might lose the answer.
    static constexpr duration discard_time{2'000'000};
    /// Bytes read and discarded beyond the limit of a body.
    static constexpr std::size_t max_discarded_overhead = 1'048'576;
    /// `Retry-After` of a request for which there is no memory, in seconds.
    static constexpr std::string_view no_memory_retry_after = "1";
    /// Connections closed together when there are too many.
    static constexpr std::size_t closed_together = 32;

private:
    struct connection;

    void accept(int fd);
    bool make_room_for_connection();
    void on_data(connection& conn, std::string_view bytes);
    void on_written(connection& conn);
    void keep_pending(connection& conn, std::string_view bytes);
    void receive(connection& conn, std::string_view bytes);
    void receive_pending(connection& conn);
    void dispatch(connection& conn);
    void on_closed(connection& conn);
    void drop(connection& conn);
    void close_after_writing(connection& conn);
    connection* find(exchange_number id);

    // Limits, in request_server_limits.cpp.
    bool hold(connection& conn);
    bool find_memory(const connection& conn, std::size_t bytes);
    void release(connection& conn, std::size_t kept);
    void count_unsent(connection& conn);
    void reject(connection& conn, connection_refusal reason);
    void reject_unreadable(connection& conn);
    void discard(connection& conn, std::size_t bytes);
    void count_refusal(connection_refusal reason);
    void expire();
    void expire(connection& conn, time_point now);
    bool has_stalled(connection& conn, time_point now);
    static connection_state state_of(const connection& conn);

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
    memory_budget own_budget_; ///< Without bounds, if no other is set.
    memory_budget* budget_ = &own_budget_;
    memory_use request_use_ = memory_use::requests;
    memory_use answer_use_ = memory_use::answers;
    std::array<std::uint64_t, connection_refusals> refused_{};
    time_point next_search_{}; ///< For requests that may yield; none was found before.
    timer expiry_;
};

} // namespace endivelatch

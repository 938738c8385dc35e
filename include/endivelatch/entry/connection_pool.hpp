#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/response_reader.hpp"
#include "endivelatch/net/tcp_stream.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/traffic/traffic_event.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// Identifies an outgoing request within its pool.
using outgoing_id = number_id<struct outgoing_id_tag>;

/// Describes why a request failed.
struct request_failure {
    attempt_stage stage = attempt_stage::not_sent;
    std::string reason;
    bool is_closed_by_peer = false; ///< The peer closed or reset the connection.
};

/// Callbacks of a connection pool. All must be set.
struct connection_pool_callbacks {
    std::function<void(outgoing_id, response_head&&)> on_head;
    std::function<void(outgoing_id, std::string_view)> on_body;
    std::function<void(outgoing_id)> on_complete;
    std::function<void(outgoing_id, request_failure&&)> on_failed;
};

/// A request to send.
struct outgoing_request {
    endpoint to;
    std::string bytes; ///< Encoded head, and the body unless it is below.
    /// Sent after `bytes` without being copied; may be null.
    std::shared_ptr<const std::string> body;
    bool is_idempotent = false;      ///< May be sent on a connection close to its idle timeout.
    bool is_head = false;            ///< A HEAD request, whose answer has no body.
    duration timeout{};              ///< Until the answer is complete; zero for none.
    std::uint64_t max_body_size = 0; ///< Of the answer, in bytes; zero for no limit.
};

/// Sends HTTP/1.1 requests over persistent connections, one request at a time on each. The pool
/// never retries a request.
class connection_pool {
public:
    connection_pool(event_loop& loop, connection_pool_callbacks callbacks);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    /// Limits the connections. Above, idle ones are closed, the longest idle first; those with a
    /// request stay.
    void set_max_connections(std::size_t limit) { max_connections_ = limit; }

    /// Limits the bytes of one read, which callers may have to be held for.
    void limit_reads(std::size_t bytes) { read_limit_ = bytes; }

    /// Sends a request over an idle connection or a new one.
    outgoing_id send(outgoing_request&& request);

    /// Cancels a request and closes its connection; its callbacks are not called any more.
    void cancel(outgoing_id id);

    /// Discards the answer whose head was reported last, since it belongs to another request, and
    /// waits for the next answer on the connection.
    void skip_answer(outgoing_id id);

    /// Pauses or resumes reading the answer.
    void pause_reading(outgoing_id id, bool is_paused);

    /// Closes the idle connections to all addresses outside the set.
    void close_idle_except(const std::set<endpoint>& addresses);

    /// Returns the number of connections opened so far.
    std::uint64_t opened() const { return opened_; }

    /// Returns the number of open connections.
    std::size_t connections() const { return connections_.size(); }

    /// Limits of the answers to other requests that are skipped on a connection: a target sends an
    /// extra answer now and then, but not one after the other. Bytes count until the own answer.
    static constexpr int max_skipped_answers = 4;
    static constexpr std::uint64_t max_skipped_bytes = 1'048'576;
    /// Timeout for connecting: a hundred times the round-trip time between failure domains. TCP
    /// retransmits a lost SYN only after one second.
    static constexpr duration connect_timeout{200'000};
    /// Time without any sign of the peer after which a connection is considered dead.
    static constexpr duration silence_limit{3'000'000};
    /// Idle timeout of a peer that sends no `Keep-Alive` timeout.
    static constexpr duration default_idle_time{10'000'000};
    /// Fraction of the peer's idle timeout for which a connection is reused. It is below 1 because
    /// the peer starts its timer earlier.
    static constexpr double idle_time_fraction = 0.7;
    /// The same for requests that are not idempotent: if the peer closes the connection while such
    /// a request is in flight, it is unknown whether the request was executed.
    static constexpr double non_idempotent_idle_time_fraction = 0.4;
    /// Interval between checks for expired idle connections.
    static constexpr duration expiry_interval{500'000};

private:
    struct connection;

    connection* take_idle(const outgoing_request& request);
    connection& open(const endpoint& to);
    void close_longest_idle();
    void start(connection& conn, outgoing_request&& request);
    void set_answer_deadline(connection& conn);
    void on_data(connection& conn, std::string_view bytes);
    void on_head(connection& conn, response_head&& head);
    void on_complete(connection& conn);
    void on_stream_closed(connection& conn, const std::string& reason);
    void fail(connection& conn, const std::string& reason);
    void release(connection& conn);
    void drop(connection& conn);
    void expire();
    void schedule_expiry(time_point when);

    event_loop* loop_;
    connection_pool_callbacks callbacks_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<endpoint, std::vector<connection*>> idle_; ///< Most recently used last.
    std::unordered_map<outgoing_id, connection*> requests_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t opened_ = 0;
    std::size_t max_connections_ = 0; ///< Zero for no limit.
    std::size_t read_limit_ = tcp_stream::max_read_size;
    timer expiry_;
    time_point next_expiry_{};
};

} // namespace endivelatch

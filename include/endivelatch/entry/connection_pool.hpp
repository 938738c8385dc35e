#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/http1/response_reader.hpp"
#include "endivelatch/net/tcp_stream.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/traffic/traffic_event.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivelatch {

/// One outgoing request, unique within its pool.
using outgoing_id = number_id<struct outgoing_id_tag>;

/// What a connection pool reports. All must be set.
struct connection_pool_callbacks {
    std::function<void(outgoing_id, response_head&&)> on_head;
    std::function<void(outgoing_id, std::string_view)> on_body;
    std::function<void(outgoing_id)> on_complete;
    std::function<void(outgoing_id, attempt_stage, const std::string&)> on_broken;
};

/// A request to be sent.
struct outgoing_request {
    endpoint to;
    std::string bytes;          ///< Head and body.
    bool is_idempotent = false; ///< May be sent on a connection that has been idle for long.
    bool is_head = false;       ///< The answer has no body.
    duration timeout{};         ///< Until the whole answer; zero for none.
};

/// Sends HTTP/1.1 requests over kept connections, one request at a time on each. A request is
/// never repeated by the pool itself.
class connection_pool {
public:
    connection_pool(event_loop& loop, connection_pool_callbacks callbacks);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool(connection_pool&&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    connection_pool& operator=(connection_pool&&) = delete;

    /// Sends a request.
    outgoing_id send(outgoing_request&& request);

    /// Breaks a request off and closes its connection; nothing more is reported.
    void cancel(outgoing_id id);

    /// Drops the answer whose head was reported last; the next answer may be the right one.
    void skip_answer(outgoing_id id);

    /// Stops or resumes reading of an answer.
    void pause_reading(outgoing_id id, bool is_paused);

    /// Closes the idle connections to all addresses that are not in the set.
    void keep_only(const std::set<endpoint>& addresses);

    /// Returns how many connections have been opened.
    std::uint64_t opened() const { return opened_; }

    /// Returns the number of open connections.
    std::size_t connections() const { return connections_.size(); }

    /// Longest wait for a connection, a hundred times the way there and back between failure
    /// domains. A lost opening packet is sent again only after one second.
    static constexpr duration connect_timeout{200'000};
    /// Silence after which a connection counts as dead.
    static constexpr duration silence_limit{3'000'000};
    /// Idle time of a connection whose peer does not state its own.
    static constexpr duration default_idle_time{10'000'000};
    /// Share of the stated idle time that is used, since the peer's clock started earlier.
    static constexpr double idle_time_use = 0.7;
    /// Share used for requests that may run once: a close that crosses them leaves in doubt
    /// whether they have run.
    static constexpr double unsafe_idle_time_use = 0.4;
    /// Time between two looks for connections that are idle for too long.
    static constexpr duration expiry_interval{500'000};

private:
    struct connection;

    connection* take_idle(const outgoing_request& request);
    connection& open(const endpoint& to);
    void start(connection& it, outgoing_request&& request);
    void set_answer_deadline(connection& it);
    void on_data(connection& it, std::string_view bytes);
    void on_head(connection& it, response_head&& head);
    void on_complete(connection& it);
    void on_stream_closed(connection& it, const std::string& reason);
    void broken(connection& it, const std::string& reason);
    void release(connection& it);
    void drop(connection& it);
    void expire();
    void check_at(time_point when);

    event_loop* loop_;
    connection_pool_callbacks callbacks_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
    std::map<endpoint, std::vector<connection*>> idle_; ///< Used last at the end.
    std::unordered_map<outgoing_id, connection*> requests_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t opened_ = 0;
    timer expiry_;
    time_point next_check_{};
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/strong_id.hpp"
#include "endivelatch/http1/http_header.hpp"
#include "endivelatch/net/event_loop.hpp"
#include "endivelatch/net/timer.hpp"
#include "endivelatch/wire/message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

/// The HTTP client for targets and the platform, on the event loop.
namespace endivelatch {

/// One call, unique within one client.
using call_id = number_id<struct call_id_tag>;

/// A call to be made.
struct http_call {
    std::string method = "GET";
    std::string url; ///< Only `http://` is taken.
    http_headers headers;
    payload body;                        ///< Empty for calls without a body.
    duration connect_timeout{1'000'000}; ///< Longest wait for a connection.
    duration idle_timeout{30'000'000};   ///< Longest time without a received byte.
    std::uint32_t max_concurrent = 0;    ///< Calls to this host at once; zero sets no limit.
    /// Whether the request may be sent twice. When false the call takes a new connection, since
    /// libcurl repeats a request when a reused connection turns out to be closed.
    bool may_repeat = false;
    bool fresh_connection = false; ///< Takes a new connection in any case.
};

/// The answer was received whole.
struct call_finished {};

/// Why a call failed.
enum class call_failure_kind {
    refused,     ///< The client's own limits or settings forbid the call.
    not_reached, ///< No connection could be made.
    silent,      ///< No byte was received for too long.
    broken,      ///< The connection ended before the answer was whole.
};

/// Returns the kind as written in logs, such as `not_reached`.
std::string_view to_string(call_failure_kind kind);

/// The call did not give a whole answer.
struct call_failure {
    call_failure_kind kind = call_failure_kind::broken;
    bool request_bytes_sent = true; ///< False only when no byte of the request was sent.
    std::string reason;
};

/// How a call ended.
using call_end = std::variant<call_finished, call_failure>;

/// What a client reports. All members may be empty.
struct http_client_callbacks {
    /// Status and headers (names in lowercase) were received.
    std::function<void(call_id, int, const http_headers&)> on_head;
    /// A part of the body was received; the text is valid during the callback only.
    std::function<void(call_id, std::string_view)> on_data;
    /// The call ended; the identifier is void from now on.
    std::function<void(call_id, call_end&&)> on_done;
};

/// Makes HTTP/1.1 calls with libcurl.
class http_client {
public:
    http_client(event_loop& loop, http_client_callbacks callbacks);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client& operator=(http_client&&) = delete;

    /// Starts a call. Nothing is reported before this returns.
    call_id start(http_call call);

    /// Ends a call and its connection; nothing more is reported for it.
    void cancel(call_id id);

    /// Stops reading the answer, so that its sender has to wait. The idle timeout stands still.
    void pause(call_id id);

    /// Reads the answer again.
    void resume(call_id id);

    /// Returns the number of calls that have not ended.
    std::size_t active() const { return calls_.size(); }

    /// Returns the number of calls to a host, given as `HOST:PORT`.
    std::uint32_t active_at(const std::string& host) const;

private:
    struct call_state;
    struct hooks; ///< Functions called by libcurl.
    struct socket_watchers;

    /// Returns the call, or nothing when it has ended.
    call_state* find(call_id id) const;
    /// Ends a call without a connection.
    void fail_later(call_id id, call_failure failure);
    /// Gives the call to libcurl.
    void add_to_multi(call_id id);
    /// Lets libcurl handle readiness of a socket, or its timeout.
    void act(int fd, int events);
    /// Reports calls that libcurl has ended.
    void collect();
    /// Fails calls that received nothing for too long.
    void check_silence();
    /// Reports the end of a call and forgets it.
    void end(call_state& it, call_end result);
    /// Returns a handle for a new transfer.
    void* take_handle();

    event_loop* loop_;
    http_client_callbacks callbacks_;
    void* multi_ = nullptr;
    timer timeout_;
    timer silence_check_;
    std::unique_ptr<socket_watchers> sockets_;
    std::unordered_map<call_id, std::unique_ptr<call_state>> calls_;
    std::unordered_map<std::string, std::uint32_t> active_by_host_;
    std::vector<void*> idle_handles_;
    std::uint64_t last_call_ = 0;
    bool is_inside_libcurl_ = false; ///< libcurl refuses new transfers during its callbacks.
};

} // namespace endivelatch

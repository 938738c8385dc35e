#pragma once

#include "endivelatch/entry/connection_pool.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

namespace endivelatch {

/// A complete answer to a call.
struct call_reply {
    int status = 0;
    http_headers headers;
    std::string body;
};

/// A call without an answer. The server may have executed it all the same.
struct call_failed {
    std::string reason;
};

using call_outcome = std::variant<call_reply, call_failed>;

/// An HTTP request with a JSON body or none.
struct outgoing_call {
    endpoint to;
    std::string method;
    std::string target;
    std::string body;
    duration timeout{};
    http_headers headers = {}; ///< Besides those of every call.
};

/// Calls the platform's store and other routers over persistent connections.
class call_client {
public:
    explicit call_client(event_loop& loop);

    /// Starts a call. `on_outcome` is called exactly once, unless the call is cancelled.
    outgoing_id call(const outgoing_call& request, std::function<void(call_outcome&&)> on_outcome);

    /// Cancels a call.
    void cancel(outgoing_id id);

    /// Returns the number of calls made so far.
    std::uint64_t calls_made() const { return calls_made_; }

    /// Maximum size in bytes of an answer's body. A page of the store has about a MiB, a copy of
    /// 5,300 registrations less than two.
    static constexpr std::uint64_t max_reply_size = 16'777'216;

private:
    struct pending_call {
        call_reply reply;
        std::function<void(call_outcome&&)> on_outcome;
    };

    /// Removes a call and passes the outcome to its callback.
    void finish(outgoing_id id, call_outcome&& outcome);

    std::unordered_map<outgoing_id, pending_call> calls_;
    std::uint64_t calls_made_ = 0;
    connection_pool pool_;
};

} // namespace endivelatch

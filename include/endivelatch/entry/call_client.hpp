#pragma once

#include "endivelatch/entry/connection_pool.hpp"

#include <functional>
#include <string>
#include <unordered_map>
#include <variant>

namespace endivelatch {

/// A whole answer to a call.
struct call_reply {
    int status = 0;
    std::string body;
};

/// Why a call has no answer. It may have been carried out nevertheless.
struct call_failed {
    std::string reason;
};

using call_outcome = std::variant<call_reply, call_failed>;

/// A call with a JSON body.
struct outgoing_call {
    endpoint to;
    std::string method;
    std::string target;
    std::string body;
    duration timeout{};
};

/// Calls the platform's store and other routers over kept connections.
class call_client {
public:
    explicit call_client(event_loop& loop);

    /// Makes a call; the function is called once, unless the call is cancelled.
    outgoing_id call(const outgoing_call& request, std::function<void(call_outcome&&)> on_end);

    /// Gives a call up.
    void cancel(outgoing_id id);

    /// Returns how many calls have been made.
    std::uint64_t made() const { return made_; }

private:
    struct open_call {
        call_reply reply;
        std::function<void(call_outcome&&)> on_end;
    };

    /// Ends a call and tells its function.
    void end(outgoing_id id, call_outcome&& outcome);

    std::unordered_map<outgoing_id, open_call> calls_;
    std::uint64_t made_ = 0;
    connection_pool pool_;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/core/event.hpp"
#include "endivelatch/timeline/timeline_entry.hpp"

#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Effects that the router returns for its process to perform.
namespace endivelatch {

/// Response headers in the order in which they are written.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Sends a complete response.
struct http_respond {
    exchange_number exchange;
    int status = 200;
    header_list headers;
    std::string body;
};

/// Sends the status and headers of a streamed response.
struct http_begin_stream {
    exchange_number exchange;
    int status = 200;
    header_list headers;
};

/// Sends a chunk of a streamed response.
struct http_write {
    exchange_number exchange;
    payload data;
};

/// Terminates a streamed response normally, so that the caller knows it is complete.
struct http_finish {
    exchange_number exchange;
};

/// Closes the connection of a streamed response early, so that the caller knows it is incomplete.
struct http_abort {
    exchange_number exchange;
};

/// Sends a message to a peer over its link connection.
struct send_peer {
    endpoint link;
    router_id to;
    peer_envelope envelope;
};

/// Sends a gossip datagram to a peer.
struct send_gossip {
    endpoint to;
    gossip_packet packet;
};

/// Sends an HTTP request to a target.
struct call_target {
    attempt_key key;
    target_id target;
    std::string method;
    std::string url;
    header_list headers;
    payload body;
    bool streams = false;    ///< Split the response into server-sent events.
    bool may_repeat = false; ///< The request may be delivered to the target twice.
};

/// Aborts a call to a target; no further events are reported for it.
struct cancel_target_call {
    attempt_key key;
};

/// Pauses or continues reading a target's response.
struct pause_target_call {
    attempt_key key;
    bool paused = true;
};

/// Requests the load and the cache events of a target.
struct probe_target {
    target_id target;
    std::string url;
    bool has_cache = false; ///< Only engines publish cache events.
};

/// Sends a call to the platform.
struct call_platform {
    platform_call call;
};

/// Writes an event to the log and the time line.
struct write_log {
    timeline_entry entry;
};

/// Requests a timer event at this time, replacing any earlier request.
struct set_timer {
    time_point at;
};

/// Exits the process: a planned stop has finished, or a newer run replaced this one.
struct exit_process {};

/// Any effect of a router.
using router_effect =
    std::variant<http_respond, http_begin_stream, http_write, http_finish, http_abort, send_peer,
                 send_gossip, call_target, cancel_target_call, pause_target_call, probe_target,
                 call_platform, write_log, set_timer, exit_process>;

/// Effects in the order in which they must be performed.
using router_effects = std::vector<router_effect>;

} // namespace endivelatch

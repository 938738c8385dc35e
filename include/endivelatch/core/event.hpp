#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/platform/object.hpp"
#include "endivelatch/wire/message.hpp"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input events of the router.
namespace endivelatch {

/// Identifies one HTTP request and its response at this router.
using exchange_number = number_id<struct exchange_number_tag>;

/// HTTP headers by lowercase name.
using header_map = std::map<std::string, std::string>;

/// A complete HTTP request arrived from a caller or operator.
struct http_received {
    exchange_number exchange;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    payload body;
    std::string random_text; ///< Cryptographically random text, used for new keys.
};

/// The client closed its connection before the response ended.
struct http_closed {
    exchange_number exchange;
};

/// The number of bytes waiting to be written to an exchange fell to `buffered`.
struct http_drained {
    exchange_number exchange;
    std::size_t buffered = 0;
};

/// A message from a peer arrived.
struct peer_received {
    peer_envelope envelope;
};

/// The link to a peer was lost; messages in transit may not have arrived.
struct peer_link_lost {
    router_id peer;
};

/// A gossip datagram arrived.
struct gossip_received {
    endpoint from;
    gossip_packet packet;
};

/// A target sent the status and headers of its response.
struct target_answered {
    attempt_key key;
    int status = 0;
    std::string content_type;
};

/// A target sent one event of a stream, or one chunk of a response that is not streamed.
struct target_data_received {
    attempt_key key;
    payload data;
    bool is_end_marker = false; ///< The end marker of the stream; carries no event.
};

/// Describes why a call to a target failed.
struct target_call_failure {
    bool request_bytes_sent = true; ///< False only when no byte can have reached the target.
    std::string reason;
};

/// A call to a target ended.
struct target_closed {
    attempt_key key;
    std::optional<target_call_failure> failure;
};

/// A target answered a load probe.
struct target_load_reported {
    target_id target;
    incarnation run;
    std::uint32_t in_flight = 0;
};

/// A target did not answer a load probe.
struct target_probe_failed {
    target_id target;
};

/// One change to a target's prefix cache.
struct cache_change {
    std::uint64_t prefix_hash = 0;
    bool stored = false; ///< True if the prefix was stored, false if it was evicted.
};

/// A target published cache events. `gap` is set if earlier events were lost.
struct target_cache_changed {
    target_id target;
    incarnation run;
    std::vector<cache_change> changes;
    bool gap = false;
};

/// The platform answered a call.
struct platform_answered {
    platform_answer answer;
};

/// Gossip addresses of peers, from the settings or the platform's list of live VMs.
struct peers_listed {
    std::vector<endpoint> gossip;
};

/// The requested timer expired.
struct timer_expired {};

/// An operator or the platform requested a planned stop of this router.
struct stop_requested {};

/// Any input event of a router.
using router_event =
    std::variant<http_received, http_closed, http_drained, peer_received, peer_link_lost,
                 gossip_received, target_answered, target_data_received, target_closed,
                 target_load_reported, target_probe_failed, target_cache_changed, platform_answered,
                 peers_listed, timer_expired, stop_requested>;

/// The clock readings at which an event is handled.
struct moment {
    time_point now; ///< Monotonic time, for timeouts.
    wall_time wall; ///< Wall-clock time, for keys, hints and logs.
};

} // namespace endivelatch

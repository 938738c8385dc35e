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

/// Everything that can happen to a router, as data.
namespace endivelatch {

/// One HTTP request and its answer at this router.
using exchange_number = number_id<struct exchange_number_tag>;

/// HTTP headers by lowercased name.
using header_map = std::map<std::string, std::string>;

/// A caller or operator sent a whole HTTP request.
struct http_received {
    exchange_number exchange;
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    payload body;
    std::string random_text; ///< Unpredictable text, for new keys.
};

/// The other end of an exchange closed its connection before the answer ended.
struct http_closed {
    exchange_number exchange;
};

/// The bytes that wait to be written to an exchange fell to `buffered`.
struct http_drained {
    exchange_number exchange;
    std::size_t buffered = 0;
};

/// A peer's message arrived.
struct peer_received {
    peer_envelope envelope;
};

/// The link to a peer was lost; messages in transit may not have arrived.
struct peer_link_lost {
    router_id peer;
};

/// A datagram from a peer arrived.
struct gossip_received {
    endpoint from;
    gossip_packet packet;
};

/// A target began its answer.
struct target_answered {
    attempt_key key;
    int status = 0;
    std::string content_type;
};

/// A target sent one event of a stream, or one part of a plain answer.
struct target_data_received {
    attempt_key key;
    payload data;
    bool is_end_marker = false; ///< The stream's explicit end; carries no event.
};

/// How a call to a target failed.
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

/// One change of a target's cache.
struct cache_change {
    std::uint64_t prefix_hash = 0;
    bool stored = false; ///< Stored if true, else evicted.
};

/// A target published cache events; `gap` says that some before them were lost.
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

/// The platform's list of live VMs, or the settings, name these peers.
struct peers_listed {
    std::vector<endpoint> gossip;
};

/// The time for which the router asked has come.
struct timer_expired {};

/// An operator or the platform asks this router to stop.
struct stop_requested {};

/// Any event.
using router_event =
    std::variant<http_received, http_closed, http_drained, peer_received, peer_link_lost,
                 gossip_received, target_answered, target_data_received, target_closed,
                 target_load_reported, target_probe_failed, target_cache_changed, platform_answered,
                 peers_listed, timer_expired, stop_requested>;

/// The clocks at the moment of an event.
struct moment {
    time_point now; ///< For timeouts.
    wall_time wall; ///< For keys, hints and logs.
};

} // namespace endivelatch

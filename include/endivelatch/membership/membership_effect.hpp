#pragma once

#include "endivelatch/base/time.hpp"
#include "endivelatch/membership/gossip.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Actions that the membership requests from its caller, and events that it reports.
namespace endivelatch {

/// Requests that the packet is sent over UDP.
struct send_packet {
    endpoint to;
    gossip_packet packet;
};

/// A member was added, or its status or run changed.
struct member_changed {
    endivelatch::member member;
    std::optional<member_status> former; ///< Empty for a new member.
};

/// A summary of another router changed; `value` is empty if the summary was removed.
struct summary_changed {
    router_id router;
    summary_key key;
    std::string value;
};

/// A peer advertised a higher configuration version, or the same version with another digest.
struct config_seen {
    router_id router;
    config_summary config;
};

/// A newer run with this router's id exists, so this process was replaced.
struct run_superseded {
    incarnation by;
};

/// This process was not scheduled in time, or its VM was suspended.
struct pause_noticed {
    duration late{}; ///< Delay of the timer past its due time.
};

using membership_effect = std::variant<send_packet, member_changed, summary_changed, config_seen,
                                       run_superseded, pause_noticed>;
using membership_effects = std::vector<membership_effect>;

} // namespace endivelatch

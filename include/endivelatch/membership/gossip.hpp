#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/membership/crash_report.hpp"
#include "endivelatch/membership/failure_table.hpp"
#include "endivelatch/membership/limit_table.hpp"
#include "endivelatch/membership/load_table.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/membership/summary.hpp"
#include "endivelatch/membership/usage_report.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Gossip packets that routers exchange over UDP.
namespace endivelatch {

/// Counts how often a member has refuted a suspicion within one run. It corresponds to the
/// incarnation number of SWIM.
using refutation_number = number_id<struct refutation_number_tag, std::uint32_t>;

/// State of one member as reported by a router.
struct member_update {
    member subject;
    refutation_number refutation;
    bool has_details = true; ///< Otherwise `subject` holds only id, run and status.

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// Type of a gossip packet.
enum class gossip_kind : std::uint8_t {
    ping = 1,         ///< Requests an `ack` with the same sequence.
    ack = 2,          ///< Response to a `ping`.
    ping_request = 3, ///< Requests an indirect probe of `subject`.
    indirect_ack = 4, ///< Response to a `ping_request`: `subject` is alive.
    page_request = 5, ///< Requests the members with ids greater than `cursor`.
    page = 6,         ///< Response to a `page_request`; an empty `cursor` marks the last page.
    loads = 7,        ///< Carries only loads and failures of targets; ignored by the membership.
};

/// Highest configuration version known to a router, and a digest of its object versions.
struct config_summary {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    friend bool operator==(const config_summary&, const config_summary&) = default;
};

/// One gossip packet. Every kind can carry updates, summaries, loads and failures.
struct gossip_packet {
    gossip_kind kind = gossip_kind::ping;
    router_id from;
    incarnation from_run;
    std::uint64_t number = 0;    ///< Increases with each packet of the sender's run.
    std::uint64_t sequence = 0;  ///< Matches responses to requests.
    router_id subject;           ///< Subject of an indirect probe; otherwise empty.
    endpoint subject_address;    ///< Gossip address of the subject of a `ping_request`.
    router_id cursor;            ///< Position in the member list, for pagination.
    bool sender_unknown = false; ///< The sender lacks the receiver's details.
    bool has_whole_list = false; ///< The sender of a page has synchronised its member list.
    config_summary config;
    std::vector<member_update> members;
    std::vector<summary_entry> summaries;
    std::vector<load_report> loads;
    std::vector<failure_report> failures;
    crash_news crashes;
    std::vector<limit_report> limits;
    usage_report usage;

    friend bool operator==(const gossip_packet&, const gossip_packet&) = default;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/base/ids.hpp"
#include "endivelatch/membership/load_table.hpp"
#include "endivelatch/membership/member.hpp"
#include "endivelatch/membership/summary.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Packets that routers exchange over UDP.
namespace endivelatch {

/// Counts how often a member has answered a suspicion within one run.
using refutation_number = number_id<struct refutation_number_tag, std::uint32_t>;

/// What one router says about another.
struct member_update {
    member subject;
    refutation_number refutation;
    bool has_details = true; ///< Without them `subject` holds only id, run and status.

    friend bool operator==(const member_update&, const member_update&) = default;
};

/// What a packet asks or answers.
enum class gossip_kind : std::uint8_t {
    ping = 1,         ///< Asks for an `ack` with the same sequence.
    ack = 2,          ///< Answers a `ping`.
    ping_request = 3, ///< Asks the receiver to probe `subject` and pass its answer on.
    indirect_ack = 4, ///< Answers a `ping_request`: `subject` is alive.
    page_request = 5, ///< Asks for the members whose id follows `cursor`.
    page = 6,         ///< Members that follow; an empty `cursor` marks the last page.
    loads = 7,        ///< Only loads of targets; not for the membership.
};

/// Highest configuration that a router knows, and a digest of its object versions.
struct config_summary {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    friend bool operator==(const config_summary&, const config_summary&) = default;
};

/// One packet. Every kind carries updates, summaries and loads.
struct gossip_packet {
    gossip_kind kind = gossip_kind::ping;
    router_id from;
    incarnation from_run;
    std::uint64_t number = 0;    ///< Grows with each packet of the sender's run.
    std::uint64_t sequence = 0;  ///< Matches answers with probes.
    router_id subject;           ///< Whom an indirect probe is about; else empty.
    endpoint subject_address;    ///< Where the subject of a `ping_request` is reached.
    router_id cursor;            ///< Position within the list of members.
    bool sender_unknown = false; ///< The sender does not know its receiver's details.
    bool has_whole_list = false; ///< The sender of a page has read a list to its end.
    config_summary config;
    std::vector<member_update> members;
    std::vector<summary_entry> summaries;
    std::vector<load_report> loads;

    friend bool operator==(const gossip_packet&, const gossip_packet&) = default;
};

} // namespace endivelatch

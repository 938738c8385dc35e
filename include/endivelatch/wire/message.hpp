#pragma once

#include "endivelatch/base/hybrid_clock.hpp"
#include "endivelatch/base/ids.hpp"
#include "endivelatch/base/outcome.hpp"
#include "endivelatch/base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Messages between routers over their TCP links. The wire library encodes them with Thrift.
namespace endivelatch {

/// Immutable bytes that messages and buffers share without copying.
using payload = std::shared_ptr<const std::string>;

/// Whether a request may be run more than once.
enum class repeatability {
    idempotent,     ///< May run any number of times.
    non_idempotent, ///< Runs at most once, under an idempotency key.
};

/// Identifies one attempt at running a request. Answers carry the key of their attempt; the
/// receiver drops those of any other attempt.
struct attempt_key {
    request_id request;
    endivelatch::attempt attempt;

    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

/// Entry to owner: runs a request on a target that the receiver is expected to own.
struct forward_request {
    attempt_key key;
    target_id target;
    organisation_id organisation;
    caller_id caller;
    chat_id chat;                  ///< Empty when the call is not part of a chat.
    std::uint64_t prefix_hash = 0; ///< Hash of the prompt prefix, for prefix cache affinity.
    std::uint32_t work_tokens = 0; ///< Estimated work, in tokens.
    std::int32_t priority = 0;     ///< Within the organisation, higher values run first.
    duration deadline{};           ///< Remaining time within which the run has to start.
    repeatability repeat = repeatability::idempotent;
    booking_key idempotency_key;      ///< Passed to the target; empty when there is none.
    std::uint64_t config_version = 0; ///< Highest configuration version known to the sender.
    std::string method;               ///< HTTP method of the call to the target.
    std::string path;                 ///< Path of the call to the target.
    std::string content_type;
    bool streams = false; ///< The caller requests the answer as an event stream.
    payload body;
};

/// Owner to entry: the target has started to answer.
struct answer_begin {
    attempt_key key;
    std::int32_t status = 0; ///< HTTP status from the target.
    std::string content_type;
    std::string hint; ///< Warm-return hint for the caller; empty if there is none.
};

/// Owner to entry: one numbered part of the answer.
struct answer_event {
    attempt_key key;
    event_number number;
    payload data;
};

/// Owner to entry: the answer has ended; no more events follow.
struct answer_end {
    attempt_key key;
    outcome result = outcome::unknown;
    event_number last; ///< Number of the last event; the answer is complete with it.
    std::string reason;
    duration retry_after{};
};

/// Entry to owner: the caller has disconnected; cancels the run.
struct cancel_request {
    attempt_key key;
};

/// Entry to owner: acknowledges all events up to `taken`, which the caller has received; the owner
/// may free their buffers.
struct answer_credit {
    attempt_key key;
    event_number taken;
};

/// Any router to the owner: requests the events of this request after `after` again, for the
/// sender.
struct resume_request {
    request_id request;
    organisation_id organisation; ///< Has to match that of the request.
    target_id target;
    event_number after;
};

/// Entry to owner: asks for the state of an attempt whose answer may have been lost.
struct status_query {
    attempt_key key;
};

/// State of an attempt at the owner.
enum class attempt_state { never_seen, queued, running, ended };

/// Owner to entry: the answer to a status query.
struct status_answer {
    attempt_key key;
    attempt_state state = attempt_state::never_seen;
    outcome result = outcome::unknown; ///< Valid when the attempt has ended.
};

/// New owner to former owner: stops admission to the target and asks for its requests in flight.
struct handover_query {
    target_id target;
    std::uint64_t adoption =
        0; ///< Number of the sender's adoption of the target; echoed in the answer.
};

/// Former owner to new owner: the number of requests that it still runs on the target.
struct handover_answer {
    target_id target;
    std::uint32_t in_flight = 0;
    std::uint64_t adoption = 0; ///< Copied from the query.
};

/// Entry to the owner of a ledger shard: runs a booking at most once.
struct booking_request {
    forward_request call; ///< If its target is empty, the owner of the shard chooses one.
    booking_key key;
    std::string body_digest; ///< SHA-256 of the body, in binary.
};

/// Asks a peer for the configuration objects that are newer than the sender's copies.
struct config_query {
    std::vector<std::pair<std::string, object_version>> have; ///< Object name and version.
};

/// A configuration object as stored on the platform.
struct config_object {
    std::string name;
    object_version version;
    std::string document;
};

/// Peer to peer: configuration objects, pushed after a change or sent in reply to a query.
struct config_update {
    std::vector<config_object> objects;
};

/// In both directions: checks that the link delivers messages.
struct heartbeat {
    std::uint64_t sequence = 0;
    bool is_reply = false;
};

/// Any message on a peer link.
using peer_message =
    std::variant<forward_request, answer_begin, answer_event, answer_end, cancel_request,
                 answer_credit, resume_request, status_query, status_answer, handover_query,
                 handover_answer, booking_request, config_query, config_update, heartbeat>;

/// A message with its sender and timestamp.
struct peer_envelope {
    router_id from;
    incarnation from_incarnation;
    hybrid_time stamp;
    peer_message body;
};

} // namespace endivelatch

#pragma once

#include "endivelatch/core/event.hpp"
#include "endivelatch/wire/message.hpp"

#include <optional>
#include <string>
#include <variant>

namespace endivelatch {

/// Describes a request to run for a caller, independently of the target that will run it.
struct request_spec {
    organisation_id organisation;
    caller_id caller;
    chat_id chat;
    pool_id pool;
    std::string hint; ///< Warm hint as sent by the caller; not verified.
    std::uint64_t prefix_hash = 0;
    std::uint32_t work_tokens = 1;
    std::int32_t priority = 0;
    time_point start_by;    ///< Deadline for starting the run.
    duration run_timeout{}; ///< Maximum duration of the run.
    repeatability repeat = repeatability::idempotent;
    std::string method = "POST";
    std::string path;
    std::string content_type;
    payload body;
    bool streams = false;
    booking_key key;        ///< Set if the request must be run by the owner of a ledger shard.
    booking_key target_key; ///< Idempotency key to send to the target.
};

/// Reason of a `not_run` outcome that makes the entry router try another route.
inline constexpr const char* not_owner_reason = "the router does not own it";

/// The response goes to a caller of this router.
struct exchange_sink {
    exchange_number exchange;
};

/// The response is recorded in the ledger as the result of a booking.
struct booking_sink {
    request_id booking;
};

/// The destination of a response.
using answer_sink = std::variant<exchange_sink, booking_sink>;

/// A target and its owner, to which a request can be sent.
struct route {
    target_id target; ///< Empty for a booking, whose ledger shard owner selects the target.
    router_id owner;
    incarnation owner_run;
    duration wait = duration::max(); ///< Maximum wait before another target is tried.
};

} // namespace endivelatch
